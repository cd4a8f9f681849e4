package control_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/agent"
	"github.com/snipereach/snipereach/control"
	"github.com/snipereach/snipereach/fake"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/placement"
	"github.com/snipereach/snipereach/rollout"
	"github.com/snipereach/snipereach/wire"
)

// rotate is a planner that hands each rank's experts to the next one, whatever
// the load, as often as it is asked.
type rotate struct {
	shape placement.Shape
	seen  int
	slow  string
}

func init() {
	kernel.Register(kernel.Module{ID: "placement.test-rotate", New: func() any { return &rotate{} }})
}

func (p *rotate) Reset(s placement.Shape, _ placement.Cost) { p.shape = s }

func (p *rotate) Observe(time.Time, placement.Load) { p.seen++ }

func (p *rotate) ObserveTimes(times []time.Duration, m *placement.Map) {
	loads := m.RankLoads(p.shape, 0, fakeLoad(0))
	slowest := 0
	for r := range times {
		if times[r].Seconds()/loads[r] > 1.2*times[slowest].Seconds()/loads[slowest] {
			slowest = r
		}
	}
	p.slow = fmt.Sprintf("; rank %d is slow", slowest)
}

func (p *rotate) Plan(_ time.Time, m *placement.Map) placement.Decision {
	if p.seen == 0 {
		return placement.Decision{Why: "no counters yet"}
	}
	by := p.shape.Slots
	next := &placement.Map{Slots: append(slices.Clone(m.Slots[by:]), m.Slots[:by]...)}
	return placement.Decision{Next: next, Why: fmt.Sprintf("rotated after %d windows%s", p.seen, p.slow)}
}

// ranks runs a fake group with an agent beside each rank.
type ranks struct {
	*cluster
	group   *fake.Group
	engines []*fake.Engine
	agents  []*agent.Agent
}

func fakeLoad(uint64) placement.Load { return placement.Load{80, 8, 8, 8, 8, 8, 8, 8} }

func startGroup(t *testing.T, planner string) *ranks {
	r := &ranks{cluster: newCluster(t, 3)}
	r.group = &fake.Group{
		Name: "g", Shape: placement.Shape{Ranks: 4, Experts: 8, Layers: 1, Slots: 3},
		Step: 2 * time.Millisecond, Load: 50 * time.Millisecond,
		Tokens: fakeLoad, Slow: map[int]float64{2: 1.6},
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	r.group.Start(ctx)
	for i := range r.group.Shape.Ranks {
		e := &fake.Engine{Group: r.group, Rank: i, Fencing: i%2 == 0}
		assert.NilError(t, e.Start())
		t.Cleanup(e.Close)
		r.engines = append(r.engines, e)
		r.startAgent(i, e.URL())
	}
	r.accept(&wire.TableEdit{EditId: "rows", By: "tester", Rows: []*wire.RowEdit{
		{Kind: "pool", Key: "lm", Columns: map[string]string{"slots": "8"}},
		{Kind: "group", Key: "g", Columns: groupColumns(planner, "no")},
	}})
	return r
}

func groupColumns(planner, paused string) map[string]string {
	return map[string]string{
		"pool": "lm", "ranks": "4", "experts": "8", "layers": "1", "spare_slots": "1",
		"planner": planner, "paused": paused,
	}
}

func (r *ranks) startAgent(i int, url string) {
	set := agent.DefaultSettings()
	set.ID = fmt.Sprintf("rank-%d-%d", i, len(r.agents))
	set.FailureDomain = "hall-0"
	set.ClusterSecret = string(sec.Secret)
	set.Pools = []string{"lm"}
	set.Upstream = map[string]any{"url": url}
	set.AnnounceTo = r.addrs
	set.AnnounceInterval = kernel.Duration(100 * time.Millisecond)
	set.Group, set.Rank = "g", uint32(i)
	a, err := agent.New(set, log.NewNopLogger())
	assert.NilError(r.t, err)
	assert.NilError(r.t, a.Start(context.Background()))
	r.t.Cleanup(func() { a.Stop() })
	r.agents = append(r.agents, a)
}

func (r *ranks) view() *wire.GroupView {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var reply *wire.GroupsReply
	_ = r.client.Call(ctx, func(ctx context.Context, c wire.DRPCControlClient) (err error) {
		reply, err = c.Groups(ctx, &wire.GroupsRequest{Group: "g"})
		return err
	})
	if len(reply.GetGroups()) == 0 {
		return &wire.GroupView{}
	}
	return reply.Groups[0]
}

func (r *ranks) waitFor(what string, ok func(v *wire.GroupView) bool) *wire.GroupView {
	r.t.Helper()
	var v *wire.GroupView
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if v = r.view(); ok(v) {
			return v
		}
	}
	r.t.Fatalf("never came true: %s: %v, group %+v", what, v, r.group.History())
	return nil
}

// known is the view of a leader that knows the group's map: one that was just
// elected doesn't for a moment.
func (r *ranks) known() *wire.GroupView {
	r.t.Helper()
	return r.waitFor("a leader knows the map", func(v *wire.GroupView) bool { return v.GetState().GetMap() != nil })
}

func (r *ranks) waitForSteps(n int) {
	r.t.Helper()
	from := r.group.History().Steps
	r.waitFor("the group runs steps", func(*wire.GroupView) bool { return r.group.History().Steps >= from+n })
}

// change asks until a leader has answered.
func (r *ranks) change(verb string, epoch uint64) *wire.GroupChangeReply {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for {
		var reply *wire.GroupChangeReply
		err := r.client.Call(ctx, func(ctx context.Context, c wire.DRPCControlClient) (err error) {
			reply, err = c.ChangeGroup(ctx, &wire.GroupChangeRequest{Group: "g", Verb: verb, Epoch: epoch, By: "tester"})
			return err
		})
		if err == nil {
			return reply
		}
		assert.NilError(r.t, ctx.Err(), "%v", err)
		time.Sleep(30 * time.Millisecond)
	}
}

func (r *ranks) edit(columns map[string]string) {
	r.t.Helper()
	rows, err := r.client.Read(context.Background(), &wire.ReadRequest{Kind: "group", Key: "g", Linearizable: true})
	assert.NilError(r.t, err)
	r.accept(&wire.TableEdit{EditId: fmt.Sprint("edit-", rows.Revision), By: "tester", Rows: []*wire.RowEdit{
		{Kind: "group", Key: "g", Columns: columns, BaseVersion: rows.Rows[0].Version},
	}})
}

// checkHistory says whether all ranks used one map in every step, and no map
// came back.
func (r *ranks) checkHistory() {
	r.t.Helper()
	h := r.group.History()
	assert.Equal(r.t, h.Mixed, 0)
	assert.Assert(r.t, slices.IsSorted(h.Epochs), "%v", h.Epochs)
}

func inForce(v *wire.GroupView) []*wire.SwitchRecord {
	return slices.DeleteFunc(slices.Clone(v.GetState().GetRecords()), func(s *wire.SwitchRecord) bool {
		return s.Outcome != rollout.OutcomeInForce
	})
}

// The control leader dies while a switch is in progress, and again in the next.
// Callers are held up for a moment at most: the next leader reads the switch from
// the log, ends it, and goes on. No step mixes two maps.
func TestLeaderDiesDuringASwitch(t *testing.T) {
	r := startGroup(t, "test-rotate")
	r.waitFor("a first switch", func(v *wire.GroupView) bool { return len(inForce(v)) > 0 })
	for range 2 {
		v := r.waitFor("a switch in progress", func(v *wire.GroupView) bool { return rollout.Undecided(v.GetState().GetSwitch()) })
		dead := r.leader()
		r.stop(dead)
		epoch := v.State.Switch.Map.Epoch
		later := r.waitFor("a later switch under another leader", func(v *wire.GroupView) bool {
			done := inForce(v)
			return v.Token > 0 && len(done) > 0 && done[0].Epoch > epoch
		})
		assert.Assert(t, later.Token > v.Token)
		assert.Assert(t, slices.ContainsFunc(later.State.Records, func(s *wire.SwitchRecord) bool { return s.Epoch == epoch }),
			"the switch in doubt has an end in the decision log")
		r.start(dead)
		r.waitHealth(control.HealthOK)
	}
	r.waitForSteps(20)
	r.checkHistory()
}

// A rank dies and comes back without a map. It runs nothing until it is told the
// map in force; the others wait for it, and then the group goes on.
func TestARankComesBackOnTheMapInForce(t *testing.T) {
	r := startGroup(t, "test-rotate")
	r.waitFor("a first switch", func(v *wire.GroupView) bool { return len(inForce(v)) > 0 })
	for rank := range r.group.Shape.Ranks {
		r.group.Restart(rank)
		r.waitForSteps(20)
	}
	r.checkHistory()
}

// An operator takes back the last change, pauses and unpins. The map that was
// taken back stays away until the pin is taken off and the row goes on. In a paused
// group, too, an operator can take a change back.
func TestOperatorsPinPauseAndUndo(t *testing.T) {
	r := startGroup(t, "test-rotate")
	r.waitFor("two switches", func(v *wire.GroupView) bool { return len(inForce(v)) > 1 })
	assert.Assert(t, r.change(control.VerbUndo, 0).Accepted)
	v := r.waitFor("the pinned map is in force", func(v *wire.GroupView) bool {
		s := v.GetState()
		if s.GetPinned() == 0 || s.Switch != nil {
			return false
		}
		m := rollout.MapAt(s, s.Pinned)
		return m != nil && slices.Equal(m.ExpertsInSlots, s.Map.ExpertsInSlots)
	})
	held := v.State.Map.Epoch
	r.waitForSteps(150)
	assert.Equal(t, r.known().State.Map.Epoch, held)
	r.edit(groupColumns("test-rotate", "yes"))
	assert.Assert(t, r.change(control.VerbUnpin, 0).Accepted)
	r.waitForSteps(150)
	assert.Equal(t, r.known().State.Map.Epoch, held, "the row is paused")
	assert.Assert(t, r.change(control.VerbUndo, 0).Accepted)
	v = r.waitFor("the undo of a paused group", func(v *wire.GroupView) bool {
		return v.GetState().GetMap().GetEpoch() > held && v.State.Switch == nil
	})
	held = v.State.Map.Epoch
	assert.Assert(t, r.change(control.VerbUnpin, 0).Accepted)
	r.edit(groupColumns("test-rotate", "no"))
	r.waitFor("planning goes on", func(v *wire.GroupView) bool { return v.GetState().GetMap().GetEpoch() > held })
	refused := r.change(control.VerbPin, 1<<40)
	assert.Assert(t, !refused.Accepted && strings.Contains(refused.Detail, "not kept"), refused.Detail)
	r.checkHistory()
}

// A row names a planner that this build lacks. The group runs on the map in
// force, and the row's error says so.
func TestAnUnknownPlannerIsSaidAtTheRow(t *testing.T) {
	r := startGroup(t, "nobody")
	v := r.waitFor("an error", func(v *wire.GroupView) bool { return strings.Contains(v.Error, "planner") })
	assert.Assert(t, strings.Contains(v.Error, "placement.nobody"), v.Error)
	r.waitForSteps(20)
	r.checkHistory()
}

// Two engines are set up as the same rank. Nothing is planned, and the error
// names both; once one of them leaves, planning goes on.
func TestTwoUpstreamsWithOneRankAreNamed(t *testing.T) {
	r := startGroup(t, "test-rotate")
	r.waitFor("a first switch", func(v *wire.GroupView) bool { return len(inForce(v)) > 0 })
	e := &fake.Engine{Group: r.group, Rank: 1}
	assert.NilError(t, e.Start())
	t.Cleanup(e.Close)
	r.startAgent(1, e.URL())
	r.waitFor("an error", func(v *wire.GroupView) bool {
		return strings.Contains(v.Error, "upstreams rank-1-1 and rank-1-4 both announce rank 1")
	})
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	assert.NilError(t, r.agents[4].Drain(ctx))
	r.agents[4].Stop()
	before := r.view().GetState().GetMap().GetEpoch()
	r.waitFor("planning goes on", func(v *wire.GroupView) bool { return v.GetState().GetMap().GetEpoch() > before })
	r.checkHistory()
}

// One rank is slow for a reason that isn't its experts. The planner is told how long
// each rank is busy, whoever holds the busiest expert, and the operator reads of it in
// the decision.
func TestASlowRankIsReported(t *testing.T) {
	r := startGroup(t, "test-rotate")
	for range 2 {
		seen := r.view().GetState().GetMap().GetEpoch()
		r.waitFor("a report under another map", func(v *wire.GroupView) bool {
			return v.GetState().GetMap().GetEpoch() > seen && strings.Contains(v.GetLast().GetWhy(), "; rank 2 is slow")
		})
	}
}

// An operator deletes the group's row while a switch is in progress. The leader ends the
// switch, lets every rank go on with the map in force, and stops: it gives up the lease,
// so that another holder can have it at once, and no order comes after. Otherwise its
// orders would compete with those of whoever runs the group next. A new row for the
// group is led again, under a new token.
func TestADeletedGroupRowEndsOrdersAndFreesTheLease(t *testing.T) {
	r := startGroup(t, "test-rotate")
	v := r.waitFor("a switch in progress", func(v *wire.GroupView) bool { return rollout.Undecided(v.GetState().GetSwitch()) })
	r.deleteRow()
	r.waitFor("nobody leads the group", func(v *wire.GroupView) bool { return v.Group == "" })
	lease := r.lease(&wire.LeaseRequest{Group: "g", Holder: "other", TtlMs: 1000})
	assert.Assert(t, lease.Granted && lease.Token > v.Token, "%v", lease)
	given := r.ordersGiven()
	r.waitForSteps(200)
	assert.Equal(t, r.ordersGiven(), given)
	assert.Assert(t, r.lease(&wire.LeaseRequest{Group: "g", Holder: "other", Release: true}).Token == lease.Token)
	r.accept(&wire.TableEdit{EditId: "again", By: "tester", Rows: []*wire.RowEdit{
		{Kind: "group", Key: "g", Columns: groupColumns("test-rotate", "no")},
	}})
	r.waitFor("a switch under a new token", func(now *wire.GroupView) bool {
		return now.Token > lease.Token && now.GetState().GetMap().GetEpoch() > v.State.Map.Epoch
	})
	r.checkHistory()
}

func (r *ranks) deleteRow() {
	r.t.Helper()
	rows, err := r.client.Read(context.Background(), &wire.ReadRequest{Kind: "group", Key: "g", Linearizable: true})
	assert.NilError(r.t, err)
	r.accept(&wire.TableEdit{EditId: "delete", By: "tester", Rows: []*wire.RowEdit{
		{Kind: "group", Key: "g", Delete: true, BaseVersion: rows.Rows[0].Version},
	}})
}

func (r *ranks) lease(req *wire.LeaseRequest) (reply *wire.LeaseReply) {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	assert.NilError(r.t, r.client.Call(ctx, func(ctx context.Context, c wire.DRPCControlClient) (err error) {
		reply, err = c.Acquire(ctx, req)
		return err
	}))
	return reply
}

// ordersGiven counts the leader's orders. An agent asks its own rank for its status, too:
// without an incarnation, as the leader does of a rank that it hasn't heard yet.
func (r *ranks) ordersGiven() int {
	n := 0
	for _, e := range r.engines {
		for _, o := range e.Orders() {
			if o.Verb != rollout.VerbStatus || !strings.Contains(o.Body, `"incarnation":0,`) {
				n++
			}
		}
	}
	return n
}
