package control

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

// While a stalled disk blocks the loop, a call must end when its context does, and its function
// must not run later.
func TestRunInLoopReturnsAtDeadlineWhileLoopIsBlocked(t *testing.T) {
	r := &Replica{calls: make(chan func(), 1), done: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	ran := false
	ended := make(chan error, 1)
	go func() { ended <- r.runInLoop(ctx, func() { ran = true }) }()
	queued := <-r.calls
	cancel()
	assert.ErrorIs(t, <-ended, ErrUnavailable)
	queued()
	assert.Assert(t, !ran)
}
