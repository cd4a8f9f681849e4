package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/platform"
	"github.com/snipereach/snipereach/wire"
)

// priorityCounters returns the counters by priority, without their common prefix.
func priorityCounters(m *gatewayMetrics) map[string]int64 {
	found := map[string]int64{}
	m.Registry.Each(func(name string, v any) {
		if short, ok := strings.CutPrefix(name, "gateway.priority."); ok {
			found[short] = v.(metrics.Counter).Count()
		}
	})
	return found
}

// countOf returns the sum over all priorities of the counters of an event.
func countOf(m *gatewayMetrics, event string) (sum int64) {
	for name, n := range priorityCounters(m) {
		if _, what, _ := strings.Cut(name, "."); what == event {
			sum += n
		}
	}
	return sum
}

// endedCall is a request of a prioritized service that has ended; priority is nil for another service.
func endedCall(m *gatewayMetrics, priority *uint32, waited time.Duration, status int, reason string) {
	c := &call{Gateway: &Gateway{metrics: m}, route: &wire.Route{}, priority: priority, waited: waited}
	m.recordArrival(c)
	m.recordQueued(c)
	m.record(c, status, reason, nil)
}

// Guards against operators who can't see which requests wait and are refused under contention, and
// against metrics without bound: priorities above 9 count as 9, as a configuration may have any number of them.
func TestCountersByPriorityAreBounded(t *testing.T) {
	m := newGatewayMetrics()
	urgent := uint32(0)
	endedCall(m, &urgent, time.Millisecond, http.StatusOK, "")
	endedCall(m, &urgent, 0, http.StatusBadGateway, reasonInDoubt)
	for priority := uint32(9); priority < 1000; priority++ {
		endedCall(m, &priority, time.Second, http.StatusServiceUnavailable, reasonUpstreamsBusy)
	}
	endedCall(m, nil, time.Second, http.StatusServiceUnavailable, reasonUpstreamsBusy)
	assert.DeepEqual(t, priorityCounters(m), map[string]int64{
		"0.arrived": 2, "0.queued": 1, "9.arrived": 991, "9.queued": 991, "9.refused." + reasonUpstreamsBusy: 991,
	})
}

// busyGateway returns a gateway with two services: lm, to which routes of two priorities lead, and clock,
// to which one leads. No permit of either is free.
func busyGateway(t *testing.T) *Gateway {
	t.Helper()
	set := DefaultSettings()
	set.ID, set.FailureDomain, set.ClusterSecret, set.Dialect = "e", "x", "a secret of this test", platform.Name
	set.Replicas = []string{"127.0.0.1:1"}
	g, err := New(set, log.NewNopLogger())
	assert.NilError(t, err)
	t.Cleanup(func() { g.Stop() })
	route := func(path, service string, priority uint32) *wire.Route {
		return &wire.Route{
			Name: path, Host: "h.example", PathPrefix: path, Kind: wire.RouteKind_ROUTE_KIND_SAFE, TimeoutMs: 500, MaxAttempts: 1,
			Priority: priority, Split: []*wire.WeightedService{{Service: service, Weight: 1}},
		}
	}
	g.applyRouting(&wire.RoutingConfig{
		Version: 1, Services: []*wire.RoutedService{{Name: "lm", Engine: &wire.EngineProfile{}}, {Name: "clock"}},
		Routes: []*wire.Route{route("/urgent/", "lm", 0), route("/patient/", "lm", 2), route("/clock/", "clock", 3)},
	}, "test")
	var upstreams []*directory.Instance
	for _, service := range []string{"lm", "clock"} {
		upstreams = append(upstreams, &directory.Instance{Announcement: &wire.Announcement{
			Id: service + "-1", Address: "127.0.0.1:1", Pools: []string{service}, Phase: wire.Phase_PHASE_UP, Direct: &wire.DirectUpstream{Slots: 1},
		}})
	}
	assert.NilError(t, g.services.update(time.Now(), upstreams, updateInputs{}))
	for _, service := range []string{"lm", "clock"} {
		takePermits(g, service)
	}
	return g
}

// takePermits takes all permits of a service.
func takePermits(g *Gateway, service string) {
	// A waiter that would be in time, but can't be queued.
	impatient := func() *waiter {
		return &waiter{onTimeBy: time.Now().Add(time.Second), admitted: make(chan struct{})}
	}
	for g.services.acquire(context.Background(), service, impatient()).ok {
	}
}

// Guards against requests that are served without being counted: of a prioritized service each one
// counts as arrived, as queued if it had to wait, and as refused with its cause, and requests of other
// services don't.
func TestServedRequestsAreCountedByPriority(t *testing.T) {
	g := busyGateway(t)
	send := func(path string) {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodGet, path, http.NoBody)
		r.Host = "h.example"
		g.ServeHTTP(w, r)
		assert.Equal(t, w.Code, http.StatusServiceUnavailable, "%s: %s", path, w.Body)
	}
	// The requests wait for a permit, as those of the services are brief so far.
	for _, p := range g.services.services {
		for range 100 {
			p.recordHoldTime(time.Millisecond)
		}
	}
	send("/clock/1")
	assert.DeepEqual(t, priorityCounters(g.metrics), map[string]int64{})
	for _, path := range []string{"/urgent/1", "/patient/1", "/patient/2"} {
		send(path)
	}
	for event, want := range map[string]int64{"arrived": 3, "queued": 3, "refused." + reasonUpstreamsBusy: 3} {
		assert.Equal(t, countOf(g.metrics, event), want, "%s: %v", event, priorityCounters(g.metrics))
	}
}
