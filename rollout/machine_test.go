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

// bench is a group whose messages are delivered by hand, one round at a time.
type testGroup struct {
	t           *testing.T
	machine     *rollout.Machine
	index       uint64
	token       uint64
	now         time.Time
	shape       placement.Shape
	ranks       []*fake.Rank
	coordinator *rollout.Coordinator
	// drop says which commands are lost.
	dropCommand func(*wire.GroupCommand) bool
}

func newTestGroup(t *testing.T) *testGroup {
	b := &testGroup{
		t: t, machine: rollout.NewMachine(), now: time.Unix(0, 0),
		shape:       placement.Shape{Ranks: 4, Experts: 4, Layers: 1, Slots: 2},
		dropCommand: func(*wire.GroupCommand) bool { return false },
	}
	for range b.shape.Ranks {
		b.ranks = append(b.ranks, fake.NewRank(1))
	}
	b.startLeader()
	b.runUntil("first map", func() bool { return b.state() != nil && !b.ranks[0].Blank() })
	return b
}

func (b *testGroup) state() *wire.GroupState { return b.machine.Get("g") }

// lead starts a new leader, which knows nothing but the log.
func (b *testGroup) startLeader() {
	b.index++
	b.token = b.index
	b.coordinator = rollout.NewCoordinator(rollout.DefaultConfig("g", b.shape, b.token))
	b.coordinator.Applied(b.now, b.state())
}

func (b *testGroup) requestSwitch() {
	b.t.Helper()
	m := placement.Contiguous(b.shape)
	for i := range m.Slots {
		m.Slots[i] = (m.Slots[i] + 1) % int32(b.shape.Experts)
	}
	b.coordinator.Roll(&rollout.Target{Base: b.state().Map.Epoch, Map: rollout.FromMap(b.shape, m), Reason: &wire.MapReason{Why: "test"}})
}

func (b *testGroup) runRound() {
	b.now = b.now.Add(100 * time.Millisecond)
	e := b.coordinator.Tick(b.now)
	for _, o := range e.Orders {
		s := b.ranks[o.Rank].Give(o.Verb, &o.Order)
		b.ranks[o.Rank].Loaded()
		b.coordinator.Heard(b.now, o.Rank, s)
	}
	if e.Command != nil && !b.dropCommand(e.Command) {
		b.apply(e.Command)
	}
}

func (b *testGroup) apply(c *wire.GroupCommand) rollout.Result {
	b.index++
	r := b.machine.Apply(b.index, c, b.token)
	b.coordinator.Applied(b.now, b.state())
	return r
}

func (b *testGroup) runUntil(condition string, met func() bool) {
	b.t.Helper()
	for range 200 {
		if met() {
			return
		}
		b.runRound()
	}
	b.t.Fatalf("never came: %s: %v", condition, b.state())
}

// run lets all ranks run steps up to a number, as far as they may.
func (b *testGroup) runSteps(end uint64) {
	for _, r := range b.ranks {
		for !r.Blank() && r.Next() < end && r.MayBegin() {
			r.Begin(r.Next())
		}
	}
}

func (b *testGroup) armUndecided() *wire.Switch {
	b.dropCommand = func(c *wire.GroupCommand) bool { return c.GetDecide() != nil }
	b.requestSwitch()
	b.runUntil("all armed", func() bool {
		for _, r := range b.ranks {
			if r.Status().Armed == 0 {
				return false
			}
		}
		return true
	})
	b.runRound()
	b.dropCommand = func(*wire.GroupCommand) bool { return false }
	return b.state().Switch
}

// The leader dies when all ranks are armed, and its decision with it. The ranks
// stop before the step. The next leader finds the switch undecided on the log and
// all ranks ready, and ends it: they go on with the new map from that step on.
func TestNewLeaderCommitsArmedSwitch(t *testing.T) {
	b := newTestGroup(t)
	sw := b.armUndecided()
	b.runSteps(sw.Step + 100)
	for _, r := range b.ranks {
		assert.Equal(t, r.Next(), sw.Step, "stopped before the step")
	}
	b.startLeader()
	b.runUntil("decided", func() bool { return b.state().Map.Epoch == sw.Map.Epoch })
	b.runUntil("told", func() bool { b.runSteps(sw.Step + 1); return b.state().Switch == nil })
	assert.Equal(t, b.state().Records[0].Outcome, rollout.OutcomeInForce)
	assert.Equal(t, b.state().Map.FromStep, sw.Step)
}

// The leader dies when all ranks are armed, and then one of them dies too. The
// next leader cancels the switch, because the rank's new life has not the weights;
// all ranks, the new life too, go on with the old map. An arm that was under way to
// the old life comes last and is refused.
func TestNewLeaderCancelsSwitchAfterRankRestart(t *testing.T) {
	b := newTestGroup(t)
	oldEpoch := b.state().Map.Epoch
	sw := b.armUndecided()
	b.ranks[2] = fake.NewRank(2)
	b.startLeader()
	b.runUntil("cancelled", func() bool { return b.state().Switch == nil })
	assert.Equal(t, b.state().Records[0].Outcome, rollout.OutcomeCancelled)
	assert.Equal(t, b.state().Records[0].Detail, "rank 2 restarted")
	b.runUntil("all go on", func() bool { b.runSteps(sw.Step + 5); return b.ranks[0].Next() > sw.Step && b.ranks[2].Next() > 0 })
	for _, r := range b.ranks {
		assert.Equal(t, r.Status().Epoch, oldEpoch)
	}
	delayed := b.ranks[2].Give(rollout.VerbArm, &rollout.Order{Incarnation: 1, Epoch: sw.Map.Epoch, Step: sw.Step + 50})
	assert.Equal(t, delayed.Refused, "order is for incarnation 1")
	assert.Equal(t, delayed.Armed, uint64(0))
}

// A leader was cut off and its lease taken over. Its commands that come late are
// refused by the log; and of two decisions of one switch the first one holds.
func TestMachineAcceptsOneDecisionPerSwitch(t *testing.T) {
	b := newTestGroup(t)
	sw := b.armUndecided()
	decide := func(commit bool, token uint64) rollout.Result {
		return b.apply(&wire.GroupCommand{Group: "g", Token: token, Command: &wire.GroupCommand_Decide{
			Decide: &wire.DecideSwitch{Epoch: sw.Map.Epoch, Commit: commit},
		}})
	}
	oldToken := b.token
	b.startLeader()
	assert.Assert(t, !decide(true, oldToken).Accepted)
	assert.Assert(t, decide(false, b.token).Accepted)
	assert.Assert(t, !decide(true, b.token).Accepted)
	assert.Assert(t, b.state().Map.Epoch < sw.Map.Epoch)
	assert.Equal(t, b.state().Settled, sw.Map.Epoch)
}

// A replica that restores a snapshot in the middle of a switch holds the same
// state as one that applied every command.
func TestSnapshotPreservesUndecidedSwitch(t *testing.T) {
	b := newTestGroup(t)
	b.armUndecided()
	data, err := proto.Marshal(b.machine.Snapshot())
	assert.NilError(t, err)
	s := &wire.GroupsSnapshot{}
	assert.NilError(t, proto.Unmarshal(data, s))
	m := rollout.NewMachine()
	m.Restore(s)
	assert.Assert(t, proto.Equal(m.Get("g"), b.state()))
	assert.Equal(t, m.Get("g").Switch.Phase, wire.SwitchPhase_SWITCH_PHASE_ARMING)
}

// A map that leaves an expert without a rank, or is based on one that is no
// longer in force, never reaches the ranks.
func TestMachineRejectsInvalidMaps(t *testing.T) {
	b := newTestGroup(t)
	begin := func(base uint64, change func(*wire.GroupMap)) rollout.Result {
		g := rollout.FromMap(b.shape, placement.Contiguous(b.shape))
		g.ExpertsInSlots = append([]int32(nil), g.ExpertsInSlots...)
		change(g)
		return b.apply(&wire.GroupCommand{Group: "g", Token: b.token, Command: &wire.GroupCommand_Begin{
			Begin: &wire.BeginSwitch{Base: base, Map: g},
		}})
	}
	inForce := b.state().Map.Epoch
	assert.Assert(t, !begin(inForce, func(g *wire.GroupMap) { g.ExpertsInSlots[0], g.ExpertsInSlots[7] = 1, 1 }).Accepted)
	assert.Assert(t, !begin(inForce, func(g *wire.GroupMap) { g.Ranks = 3 }).Accepted)
	assert.Assert(t, !begin(inForce+1, func(*wire.GroupMap) {}).Accepted)
	assert.Assert(t, b.state().Switch == nil)
	assert.Assert(t, begin(inForce, func(*wire.GroupMap) {}).Accepted)
	assert.Assert(t, !begin(inForce, func(*wire.GroupMap) {}).Accepted, "one switch at a time")
}
