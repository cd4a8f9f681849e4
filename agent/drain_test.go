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

// An entry that does not know of a planned stop keeps sending attempts. Each must be
// refused as not run during the leave margin, so that it can go to another upstream; a
// closed connection would leave its outcome unknown.
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
