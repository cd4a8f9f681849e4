package agent

import (
	"context"
	"encoding/json"
	"errors"
	"testing"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/fake"
	"github.com/snipereach/snipereach/fence"
	"github.com/snipereach/snipereach/placement"
	"github.com/snipereach/snipereach/rollout"
	"github.com/snipereach/snipereach/upstream"
	"github.com/snipereach/snipereach/wire"
)

// newAgentForEngine creates an agent whose guard gets the current token from a function.
func newAgentForEngine(t *testing.T, e *fake.Engine, tokens func() (uint64, error)) *Agent {
	t.Helper()
	up, err := upstream.New("engine", map[string]any{"url": e.URL()})
	assert.NilError(t, err)
	t.Cleanup(up.Close)
	return &Agent{
		upstream: up, log: log.NewNopLogger(), metrics: metrics.NewRegistry(),
		orders: &orderFence{
			guard:        fence.NewGuard(),
			currentToken: func(context.Context, string) (uint64, error) { return tokens() },
		},
	}
}

func newOrder(token uint64, verb string) *wire.Order {
	return &wire.Order{Group: "g", Token: token, OrderId: verb, Verb: verb}
}

// A partitioned former leader keeps sending orders. None of them may be carried out after
// the first order of the new leader, whether or not the engine checks tokens, and also not
// by an agent that has restarted since.
func TestOrdersWithStaleTokenAreRefused(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		e := &fake.Engine{Fencing: fencing}
		assert.NilError(t, e.Start())
		current := uint64(7)
		a := newAgentForEngine(t, e, func() (uint64, error) { return current, nil })
		give := func(token uint64, verb string) bool {
			r, err := a.Give(context.Background(), newOrder(token, verb))
			assert.NilError(t, err)
			return r.Accepted
		}
		assert.Assert(t, give(7, "old"))
		current = 9
		assert.Assert(t, give(9, "new"))
		assert.Assert(t, !give(7, "late"))
		a = newAgentForEngine(t, e, func() (uint64, error) { return current, nil })
		assert.Assert(t, !give(7, "after-restart"))
		assert.Assert(t, give(9, "new-again"))
		var verbs []string
		for _, o := range e.Orders() {
			verbs = append(verbs, o.Verb)
		}
		assert.DeepEqual(t, verbs, []string{"old", "new", "new-again"})
		e.Close()
	}
}

// A restarted agent that cannot reach a quorum must refuse every order, as it cannot know
// the current token.
func TestRestartedAgentRefusesOrdersWithoutQuorum(t *testing.T) {
	e := &fake.Engine{}
	assert.NilError(t, e.Start())
	defer e.Close()
	a := newAgentForEngine(t, e, func() (uint64, error) { return 0, errors.New("no leader") })
	r, err := a.Give(context.Background(), newOrder(99, "any"))
	assert.NilError(t, err)
	assert.Assert(t, !r.Accepted)
	assert.Equal(t, len(e.Orders()), 0)
}

// The leader cannot reach the host of an armed rank. The agent must deliver the decision
// to its rank as soon as one control replica knows it, and nothing before.
func TestAgentResolvesSwitchOfArmedRank(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		g := &fake.Group{Name: "g", Shape: placement.Shape{Ranks: 1, Experts: 1, Layers: 1, Slots: 1}}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		g.Start(ctx)
		e := &fake.Engine{Group: g, Fencing: fencing}
		assert.NilError(t, e.Start())
		a := newAgentForEngine(t, e, func() (uint64, error) { return 7, nil })
		give := func(verb string, o rollout.Order) (s rollout.Status) {
			o.Incarnation = 1
			body, err := json.Marshal(o)
			assert.NilError(t, err)
			r, err := a.Give(context.Background(), &wire.Order{Group: "g", Token: 7, Verb: verb, Body: body})
			assert.NilError(t, err)
			assert.Assert(t, r.Accepted, r.Detail)
			assert.NilError(t, json.Unmarshal(r.Body, &s))
			return s
		}
		give(rollout.VerbAdopt, rollout.Order{Epoch: 3})
		give(rollout.VerbStage, rollout.Order{Epoch: 9, Base: 3})
		for give(rollout.VerbStatus, rollout.Order{}).Staged != 9 {
		}
		assert.Equal(t, give(rollout.VerbArm, rollout.Order{Epoch: 9, Step: 50}).Armed, uint64(9))

		old := &wire.GroupState{Map: &wire.GroupMap{Epoch: 3}, Settled: 3}
		known := []*wire.GroupState{old, {}}
		a.orders.eachGroupState = func(_ context.Context, _ string, f func(*wire.GroupState) bool) {
			for _, st := range known {
				if f(st) {
					return
				}
			}
		}
		for range 3 {
			a.resolveSwitch(context.Background(), "g", 0)
		}
		assert.Assert(t, !give(rollout.VerbStatus, rollout.Order{}).Decided)
		known = []*wire.GroupState{old, {Map: &wire.GroupMap{Epoch: 9, FromStep: 50}, Settled: 9}}
		a.resolveSwitch(context.Background(), "g", 0)
		assert.Assert(t, give(rollout.VerbStatus, rollout.Order{}).Decided)
		e.Close()
	}
}
