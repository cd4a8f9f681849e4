package transport

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Attempts that time out are retried before the kernel would retransmit the SYN, up to
// the overall timeout; a refused connection is an error at once.
func TestDialRetriesTimeoutsAndReturnsOtherErrors(t *testing.T) {
	attempts := 0
	d := &Dialer{timeout: 2 * time.Second, dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		attempts++
		if attempts < 3 {
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
		}
		a, _ := net.Pipe()
		return a, nil
	}}
	start := time.Now()
	conn, err := d.DialContext(context.Background(), "tcp", "x")
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
	assert.Equal(t, attempts, 3)
	assert.Assert(t, time.Since(start) < firstAttemptTimeout+attemptTimeoutGrowth*firstAttemptTimeout+300*time.Millisecond)

	attempts = 10
	refused := &Dialer{timeout: 2 * time.Second, dial: func(context.Context, string, string) (net.Conn, error) {
		attempts++
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}}
	_, err = refused.DialContext(context.Background(), "tcp", "x")
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	assert.Equal(t, attempts, 11)

	unresponsive := &Dialer{timeout: 300 * time.Millisecond, dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
	}}
	start = time.Now()
	_, err = unresponsive.DialContext(context.Background(), "tcp", "x")
	assert.Assert(t, err != nil)
	assert.Assert(t, time.Since(start) < time.Second, "the timeout covers all attempts")
}
