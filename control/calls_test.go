package control

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

// A disk stalls, and the replica's loop stands in a sync. An operator's call is given
// up at its deadline instead of hanging for as long as the disk does, and what it asked
// for isn't done later behind the operator's back.
func TestCallIsGivenUpWhileTheLoopStands(t *testing.T) {
	r := &Replica{calls: make(chan func(), 1), done: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	ran := false
	ended := make(chan error, 1)
	go func() { ended <- r.do(ctx, func() { ran = true }) }()
	queued := <-r.calls
	cancel()
	assert.ErrorIs(t, <-ended, ErrUnavailable)
	queued()
	assert.Assert(t, !ran)
}
