package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/kernel"
)

func durationOf(d time.Duration) kernel.Duration { return kernel.Duration(d) }

// Hop-by-hop headers, including those that Connection names, aren't forwarded.
func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	h := http.Header{
		"Connection": {"close, X-Mine"}, "X-Mine": {"1"}, "X-Other": {"2"}, "Te": {"trailers"},
		"Transfer-Encoding": {"chunked"}, "Content-Length": {"3"}, "Expect": {"100-continue"},
	}
	assert.DeepEqual(t, forwardHeader(h), http.Header{"X-Other": {"2"}})
	to := http.Header{}
	copyResponseHeader(to, http.Header{"Keep-Alive": {"timeout=3"}, "X-Other": {"2"}})
	assert.DeepEqual(t, to, http.Header{"X-Other": {"2"}, "Content-Type": nil})
	assert.Equal(t, retryAfterSeconds(1500*time.Millisecond), "1.5")
}

func TestSettingsCheckNamesInvalidKey(t *testing.T) {
	valid := func() *Settings {
		s := DefaultSettings()
		s.ID, s.FailureDomain, s.Dialect, s.Replicas = "a", "x", "platform", []string{"10.0.0.1:80"}
		return s
	}
	assert.NilError(t, valid().Check())
	for key, spoil := range map[string]func(*Settings){
		"id":              func(s *Settings) { s.ID = "" },
		"failure_domain":  func(s *Settings) { s.FailureDomain = "" },
		"dialect":         func(s *Settings) { s.Dialect = "" },
		"replicas":        func(s *Settings) { s.Replicas = nil },
		"peer_port":       func(s *Settings) { s.PeerPort = 70000 },
		"lease":           func(s *Settings) { s.Lease = s.AnnounceInterval },
		"stop_limit":      func(s *Settings) { s.StopLimit = 0 },
		"routing_max_age": func(s *Settings) { s.RoutingMaxAge = minRoutingMaxAge - 1 },
		"retries":         func(s *Settings) { s.Retries.Ratio = -1 },
		"listen":          func(s *Settings) { s.Listen = "nowhere" },
		"ready_listen":    func(s *Settings) { s.Ready = "" },
	} {
		s := valid()
		spoil(s)
		assert.ErrorContains(t, s.Check(), `"`+key+`"`)
	}
	s := valid()
	s.PeerPort = 7340
	s.SetDefaults()
	assert.DeepEqual(t, s.Replicas, []string{"10.0.0.1:7340"})
}
