package gateway

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/routing"
	"github.com/snipereach/snipereach/wire"
)

// deadlineConn keeps the last deadline that was set.
type deadlineConn struct {
	net.Conn
	last time.Time
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	c.last = t
	return nil
}

func gatewayWithLimits(l *wire.RoutingLimits) *Gateway {
	g := &Gateway{}
	g.table.Store(routing.NewTable(&wire.RoutingConfig{Version: 1, Limits: l}))
	return g
}

// A caller keeps a connection idle for as long as the configuration lets it, longer
// than any default. Closed sooner, its next request would end without an answer,
// and one that may run once only could not be sent again.
func TestConnectionsObeyTheLimitsInForce(t *testing.T) {
	g := &Gateway{}
	var under deadlineConn
	c := &callerConn{Conn: &under, limits: g.limits}
	// The limit counts from some moment within the call.
	becomes := func(mark, want time.Duration) {
		t.Helper()
		before := time.Now()
		assert.NilError(t, c.SetReadDeadline(before.Add(mark)))
		assert.Assert(t, !under.last.Before(before.Add(want)) && !under.last.After(time.Now().Add(want)), "%s", under.last.Sub(before))
	}
	becomes(idleMark, defaultIdleTimeout)

	g = gatewayWithLimits(&wire.RoutingLimits{IdleTimeoutMs: 7_200_000, HeaderTimeoutMs: 1_200_000})
	c.limits = g.limits
	becomes(idleMark, 2*time.Hour)
	becomes(headMark, 20*time.Minute)

	g.table.Store(gatewayWithLimits(&wire.RoutingLimits{IdleTimeoutMs: 3_600_000}).table.Load())
	becomes(idleMark, time.Hour)
	becomes(headMark, defaultHeadTimeout)
}

// What else the server sets goes through: none, and one in the past, by which it
// ends a read that waits for a caller to leave.
func TestOtherDeadlinesGoThrough(t *testing.T) {
	var under deadlineConn
	c := &callerConn{Conn: &under, limits: (&Gateway{}).limits}
	for _, at := range []time.Time{{}, time.Unix(1, 0), time.Now().Add(time.Hour)} {
		assert.NilError(t, c.SetReadDeadline(at))
		assert.Equal(t, under.last, at)
	}
}

// A head that takes exactly the limit on the wire is let in: what the fields are
// counted as is never more than what the caller sent.
func TestHeadsWithinTheLimitAreNeverCountedAsMore(t *testing.T) {
	r, err := http.NewRequest(http.MethodGet, "http://h.example/tick", http.NoBody)
	assert.NilError(t, err)
	r.Header = http.Header{"X-A": {"1", "22"}, "X-Long": {strings.Repeat("x", 100)}}
	onWire := len("Host: h.example\r\nX-A: 1\r\nX-A: 22\r\nX-Long: \r\n") + 100
	n := headerSize(r)
	assert.Assert(t, n <= int64(onWire), "%d of %d", n, onWire)
	assert.Assert(t, n >= 100)
}
