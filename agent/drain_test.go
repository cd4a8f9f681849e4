package agent_test

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/agent"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

// An idle upstream is stopped as planned while an entry that hasn't heard of it goes on
// sending it bids. Each bid is refused as not run for as long as an entry may not know,
// so that it can go elsewhere; a connection that was closed at once would leave it in
// doubt.
func TestDrainRefusesAttemptsDuringLeaveMargin(t *testing.T) {
	r := newRelayFixtureWith(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) },
		func(s *agent.Settings) { s.LeaveMargin = kernel.Duration(time.Hour) })
	_, res := r.call(context.Background(), "before", "/bid", nil)
	assert.Equal(t, res.Outcome, wire.Outcome_OUTCOME_DONE)
	r.agent.Leave(context.Background())
	ctx, limit := context.WithCancel(context.Background())
	drained := make(chan error, 1)
	go func() { drained <- r.agent.Drain(ctx) }()
	for n := range 200 {
		r.resetForwarder(t)
		_, res := r.call(context.Background(), "during-"+strconv.Itoa(n), "/bid", nil)
		assert.Equal(t, res.Outcome, wire.Outcome_OUTCOME_NOT_RUN, res.Detail)
	}
	select {
	case err := <-drained:
		t.Fatalf("connections may be closed already: %v", err)
	default:
	}
	limit()
	assert.ErrorIs(t, <-drained, context.Canceled)
}
