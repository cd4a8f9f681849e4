package gateway

import (
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/routing"
	"github.com/snipereach/snipereach/wire"
)

// deadlineConn records the last read deadline.
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

// Open connections follow changes of the timeouts. A connection that is closed before its idle
// timeout could lose a request that must not be retried.
func TestConnectionsFollowTimeoutChanges(t *testing.T) {
	g := &Gateway{}
	var under deadlineConn
	c := &callerConn{Conn: &under, limits: g.limits}
	// The timeout counts from some moment within the call.
	becomes := func(mark, want time.Duration) {
		t.Helper()
		before := time.Now()
		assert.NilError(t, c.SetReadDeadline(before.Add(mark)))
		assert.Assert(t, !under.last.Before(before.Add(want)) && !under.last.After(time.Now().Add(want)), "%s", under.last.Sub(before))
	}
	becomes(idleSentinel, defaultIdleTimeout)

	g = gatewayWithLimits(&wire.RoutingLimits{IdleTimeoutMs: 7_200_000, HeaderTimeoutMs: 1_200_000})
	c.limits = g.limits
	becomes(idleSentinel, 2*time.Hour)
	becomes(headSentinel, 20*time.Minute)

	g.table.Store(gatewayWithLimits(&wire.RoutingLimits{IdleTimeoutMs: 3_600_000}).table.Load())
	becomes(idleSentinel, time.Hour)
	becomes(headSentinel, defaultHeadTimeout)
}

// Other deadlines pass through unchanged: none, and one in the past, with which the server ends a
// pending read.
func TestOtherDeadlinesAreUnchanged(t *testing.T) {
	var under deadlineConn
	c := &callerConn{Conn: &under, limits: (&Gateway{}).limits}
	for _, at := range []time.Time{{}, time.Unix(1, 0), time.Now().Add(time.Hour)} {
		assert.NilError(t, c.SetReadDeadline(at))
		assert.Equal(t, under.last, at)
	}
}

// A request head is never counted as larger than it was on the wire.
func TestHeaderSizeNeverExceedsWireSize(t *testing.T) {
	r, err := http.NewRequest(http.MethodGet, "http://h.example/tick", http.NoBody)
	assert.NilError(t, err)
	r.Header = http.Header{"X-A": {"1", "22"}, "X-Long": {strings.Repeat("x", 100)}}
	onWire := len("Host: h.example\r\nX-A: 1\r\nX-A: 22\r\nX-Long: \r\n") + 100
	n := headerSize(r)
	assert.Assert(t, n <= int64(onWire), "%d of %d", n, onWire)
	assert.Assert(t, n >= 100)
}

// Guards against callers that stop reading in the middle of a response and hold its memory for good. One
// that reads slowly gets all of it.
func TestCallerThatStopsReadingIsCutOff(t *testing.T) {
	ours, theirs := net.Pipe()
	defer theirs.Close()
	c := &callerConn{Conn: ours, limits: (&Gateway{}).limits, writeTimeout: 200 * time.Millisecond}
	body := make([]byte, 3*maxWriteBytes)
	go func() {
		slow := make([]byte, maxWriteBytes)
		for range 3 {
			time.Sleep(100 * time.Millisecond)
			_, _ = io.ReadFull(theirs, slow)
		}
	}()
	n, err := c.Write(body)
	assert.NilError(t, err)
	assert.Equal(t, n, len(body))
	began := time.Now()
	_, err = c.Write(body)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	assert.Assert(t, time.Since(began) < 5*time.Second)
}
