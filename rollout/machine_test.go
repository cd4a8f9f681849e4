package rollout_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/fake"
	"github.com/snipereach/snipereach/placement"
	"github.com/snipereach/snipereach/rollout"
	"github.com/snipereach/snipereach/wire"
)

// testGroup is a group whose orders and replies are delivered in rounds.
type testGroup struct {
	t           *testing.T
	machine     *rollout.Machine
	index       uint64
	token       uint64
	now         time.Time
	shape       placement.Shape
	ranks       []*fake.Rank
	coordinator *rollout.Coordinator
	// dropCommand selects the commands that are lost.
	dropCommand func(*wire.GroupCommand) bool
}

func newTestGroup(t *testing.T) *testGroup {
	tg := &testGroup{
		t: t, machine: rollout.NewMachine(), now: time.Unix(0, 0),
		shape:       placement.Shape{Ranks: 4, Experts: 4, Layers: 1, Slots: 2},
		dropCommand: func(*wire.GroupCommand) bool { return false },
	}
	for range tg.shape.Ranks {
		tg.ranks = append(tg.ranks, fake.NewRank(1))
	}
	tg.startLeader()
	tg.runUntil("the first map", func() bool { return tg.state() != nil && !tg.ranks[0].HasNoMap() })
	return tg
}

func (tg *testGroup) state() *wire.GroupState { return tg.machine.Get("g") }

// startLeader starts a new leader, which knows only the state on the log.
func (tg *testGroup) startLeader() {
	tg.index++
	tg.token = tg.index
	tg.coordinator = rollout.NewCoordinator(rollout.DefaultConfig("g", tg.shape, tg.token))
	tg.coordinator.SetState(tg.now, tg.state())
}

func (tg *testGroup) requestSwitch() {
	tg.t.Helper()
	m := placement.Contiguous(tg.shape)
	for i := range m.Slots {
		m.Slots[i] = (m.Slots[i] + 1) % int32(tg.shape.Experts)
	}
	tg.coordinator.RequestSwitch(&rollout.Target{BaseEpoch: tg.state().Map.Epoch, Map: rollout.FromPlacementMap(tg.shape, m), Reason: &wire.MapReason{Why: "test"}})
}

func (tg *testGroup) runRound() {
	tg.now = tg.now.Add(100 * time.Millisecond)
	e := tg.coordinator.Tick(tg.now)
	for _, o := range e.Orders {
		s := tg.ranks[o.Rank].HandleOrder(o.Verb, &o.Order)
		tg.ranks[o.Rank].FinishLoading()
		tg.coordinator.HandleStatus(tg.now, o.Rank, s)
	}
	if e.Command != nil && !tg.dropCommand(e.Command) {
		tg.apply(e.Command)
	}
}

func (tg *testGroup) apply(c *wire.GroupCommand) rollout.Result {
	tg.index++
	r := tg.machine.Apply(tg.index, c, tg.token)
	tg.coordinator.SetState(tg.now, tg.state())
	return r
}

func (tg *testGroup) runUntil(condition string, met func() bool) {
	tg.t.Helper()
	for range 200 {
		if met() {
			return
		}
		tg.runRound()
	}
	tg.t.Fatalf("timed out waiting for %s: %v", condition, tg.state())
}

// runSteps lets each rank run steps before end until it has to stop.
func (tg *testGroup) runSteps(end uint64) {
	for _, r := range tg.ranks {
		for !r.HasNoMap() && r.NextStep() < end && r.CanBeginStep() {
			r.BeginStep(r.NextStep())
		}
	}
}

// armUndecided arms all ranks for a switch whose decision is lost.
func (tg *testGroup) armUndecided() *wire.Switch {
	tg.dropCommand = func(c *wire.GroupCommand) bool { return c.GetDecide() != nil }
	tg.requestSwitch()
	tg.runUntil("all ranks to be armed", func() bool {
		for _, r := range tg.ranks {
			if r.Status().Armed == 0 {
				return false
			}
		}
		return true
	})
	tg.runRound()
	tg.dropCommand = func(*wire.GroupCommand) bool { return false }
	return tg.state().Switch
}

// If the leader fails after all ranks are armed but before its decision is on the log, the
// ranks stop before the armed step, and the next leader commits the switch.
func TestNewLeaderCommitsArmedSwitch(t *testing.T) {
	tg := newTestGroup(t)
	sw := tg.armUndecided()
	tg.runSteps(sw.Step + 100)
	for _, r := range tg.ranks {
		assert.Equal(t, r.NextStep(), sw.Step, "must stop before the armed step")
	}
	tg.startLeader()
	tg.runUntil("the decision", func() bool { return tg.state().Map.Epoch == sw.Map.Epoch })
	tg.runUntil("the confirmation", func() bool { tg.runSteps(sw.Step + 1); return tg.state().Switch == nil })
	assert.Equal(t, tg.state().Records[0].Outcome, rollout.OutcomeInForce)
	assert.Equal(t, tg.state().Map.FromStep, sw.Step)
}

// If the leader fails and an armed rank restarts before the decision, the next leader
// cancels the switch and all ranks continue with the old map. A delayed arm order for the
// rank's previous incarnation is rejected.
func TestNewLeaderCancelsSwitchAfterRankRestart(t *testing.T) {
	tg := newTestGroup(t)
	oldEpoch := tg.state().Map.Epoch
	sw := tg.armUndecided()
	tg.ranks[2] = fake.NewRank(2)
	tg.startLeader()
	tg.runUntil("the cancellation", func() bool { return tg.state().Switch == nil })
	assert.Equal(t, tg.state().Records[0].Outcome, rollout.OutcomeCancelled)
	assert.Equal(t, tg.state().Records[0].Detail, "rank 2 restarted")
	tg.runUntil("steps with the old map", func() bool {
		tg.runSteps(sw.Step + 5)
		return tg.ranks[0].NextStep() > sw.Step && tg.ranks[2].NextStep() > 0
	})
	for _, r := range tg.ranks {
		assert.Equal(t, r.Status().Epoch, oldEpoch)
	}
	delayed := tg.ranks[2].HandleOrder(rollout.VerbArm, &rollout.Order{Incarnation: 1, Epoch: sw.Map.Epoch, Step: sw.Step + 50})
	assert.Equal(t, delayed.Refused, "order is for incarnation 1")
	assert.Equal(t, delayed.Armed, uint64(0))
}

// The machine rejects commands of a leader that lost its lease, and any decision of a
// switch after the first.
func TestMachineAcceptsOneDecisionPerSwitch(t *testing.T) {
	tg := newTestGroup(t)
	sw := tg.armUndecided()
	decide := func(commit bool, token uint64) rollout.Result {
		return tg.apply(&wire.GroupCommand{Group: "g", Token: token, Command: &wire.GroupCommand_Decide{
			Decide: &wire.DecideSwitch{Epoch: sw.Map.Epoch, Commit: commit},
		}})
	}
	oldToken := tg.token
	tg.startLeader()
	assert.Assert(t, !decide(true, oldToken).Accepted)
	assert.Assert(t, decide(false, tg.token).Accepted)
	assert.Assert(t, !decide(true, tg.token).Accepted)
	assert.Assert(t, tg.state().Map.Epoch < sw.Map.Epoch)
	assert.Equal(t, tg.state().Settled, sw.Map.Epoch)
}

// A replica that restores a snapshot during a switch must hold the same state as one that
// applied every command.
func TestSnapshotPreservesUndecidedSwitch(t *testing.T) {
	tg := newTestGroup(t)
	tg.armUndecided()
	data, err := proto.Marshal(tg.machine.Snapshot())
	assert.NilError(t, err)
	s := &wire.GroupsSnapshot{}
	assert.NilError(t, proto.Unmarshal(data, s))
	m := rollout.NewMachine()
	m.Restore(s)
	assert.Assert(t, proto.Equal(m.Get("g"), tg.state()))
	assert.Equal(t, m.Get("g").Switch.Phase, wire.SwitchPhase_SWITCH_PHASE_ARMING)
}

// The machine rejects a map that leaves an expert without a slot, has another shape, or is
// based on a map that is not in force, and a second switch at a time.
func TestMachineRejectsInvalidMaps(t *testing.T) {
	tg := newTestGroup(t)
	begin := func(base uint64, change func(*wire.GroupMap)) rollout.Result {
		g := rollout.FromPlacementMap(tg.shape, placement.Contiguous(tg.shape))
		g.ExpertsInSlots = append([]int32(nil), g.ExpertsInSlots...)
		change(g)
		return tg.apply(&wire.GroupCommand{Group: "g", Token: tg.token, Command: &wire.GroupCommand_Begin{
			Begin: &wire.BeginSwitch{Base: base, Map: g},
		}})
	}
	inForce := tg.state().Map.Epoch
	assert.Assert(t, !begin(inForce, func(g *wire.GroupMap) { g.ExpertsInSlots[0], g.ExpertsInSlots[7] = 1, 1 }).Accepted)
	assert.Assert(t, !begin(inForce, func(g *wire.GroupMap) { g.Ranks = 3 }).Accepted)
	assert.Assert(t, !begin(inForce+1, func(*wire.GroupMap) {}).Accepted)
	assert.Assert(t, tg.state().Switch == nil)
	assert.Assert(t, begin(inForce, func(*wire.GroupMap) {}).Accepted)
	assert.Assert(t, !begin(inForce, func(*wire.GroupMap) {}).Accepted, "one switch at a time")
}
