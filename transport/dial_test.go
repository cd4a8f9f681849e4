package transport

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A process dials a host that is still starting: its first packet is lost without a
// word, and the host is there some tenths of a second later. The connection opens then,
// and not when the kernel sends that packet again. A host that refuses is told at once.
func TestDialTriesAgainWhereThePeerIsSilent(t *testing.T) {
	tries := 0
	d := &Dialer{limit: 2 * time.Second, open: func(ctx context.Context, _, _ string) (net.Conn, error) {
		tries++
		if tries < 3 {
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
		}
		a, _ := net.Pipe()
		return a, nil
	}}
	began := time.Now()
	conn, err := d.DialContext(context.Background(), "tcp", "x")
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
	assert.Equal(t, tries, 3)
	assert.Assert(t, time.Since(began) < firstTry+tryGrowth*firstTry+300*time.Millisecond)

	tries = 10
	refused := &Dialer{limit: 2 * time.Second, open: func(context.Context, string, string) (net.Conn, error) {
		tries++
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}}
	_, err = refused.DialContext(context.Background(), "tcp", "x")
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	assert.Equal(t, tries, 11)

	silent := &Dialer{limit: 300 * time.Millisecond, open: func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
	}}
	began = time.Now()
	_, err = silent.DialContext(context.Background(), "tcp", "x")
	assert.Assert(t, err != nil)
	assert.Assert(t, time.Since(began) < time.Second, "the limit holds over all tries")
}
