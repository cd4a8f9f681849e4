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

// rotatingPlanner is a planner that moves all experts on by one rank in every plan,
// whatever the load.
type rotatingPlanner struct {
	shape          placement.Shape
	windows        int
	slowRankReport string
}

func init() {
	kernel.Register(kernel.Module{ID: "placement.test-rotate", New: func() any { return &rotatingPlanner{} }})
}

func (p *rotatingPlanner) Reset(s placement.Shape, _ placement.Cost) { p.shape = s }

func (p *rotatingPlanner) Observe(time.Time, placement.Load) { p.windows++ }

func (p *rotatingPlanner) ObserveTimes(times []time.Duration, m *placement.Map) {
	loads := m.RankLoads(p.shape, 0, expertLoad(0))
	slowest := 0
	for r := range times {
		if times[r].Seconds()/loads[r] > 1.2*times[slowest].Seconds()/loads[slowest] {
			slowest = r
		}
	}
	p.slowRankReport = fmt.Sprintf("; rank %d is slow", slowest)
}

func (p *rotatingPlanner) Plan(_ time.Time, m *placement.Map) placement.Decision {
	if p.windows == 0 {
		return placement.Decision{Reason: "no counters yet"}
	}
	slots := p.shape.Slots
	next := &placement.Map{Slots: append(slices.Clone(m.Slots[slots:]), m.Slots[:slots]...)}
	return placement.Decision{Next: next, Reason: fmt.Sprintf("rotated after %d windows%s", p.windows, p.slowRankReport)}
}

// groupCluster runs a cluster of control replicas and a fake group with an agent for each
// rank.
type groupCluster struct {
	*cluster
	group   *fake.Group
	engines []*fake.Engine
	agents  []*agent.Agent
}

func expertLoad(uint64) placement.Load { return placement.Load{80, 8, 8, 8, 8, 8, 8, 8} }

func startGroup(t *testing.T, planner string) *groupCluster {
	r := &groupCluster{cluster: newCluster(t, 3)}
	r.group = &fake.Group{
		Name: "g", Shape: placement.Shape{Ranks: 4, Experts: 8, Layers: 1, Slots: 3},
		Step: 2 * time.Millisecond, LoadTime: 50 * time.Millisecond,
		Tokens: expertLoad, SlowFactors: map[int]float64{2: 1.6},
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

func (r *groupCluster) startAgent(i int, url string) {
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

func (r *groupCluster) groupView() *wire.GroupView {
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

func (r *groupCluster) waitFor(what string, ok func(v *wire.GroupView) bool) *wire.GroupView {
	r.t.Helper()
	var v *wire.GroupView
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if v = r.groupView(); ok(v) {
			return v
		}
	}
	r.t.Fatalf("timed out waiting for: %s: %v, group %+v", what, v, r.group.History())
	return nil
}

// viewWithMap waits for a view with the group's map, which a newly elected leader doesn't
// have at once.
func (r *groupCluster) viewWithMap() *wire.GroupView {
	r.t.Helper()
	return r.waitFor("a leader knows the map", func(v *wire.GroupView) bool { return v.GetState().GetMap() != nil })
}

func (r *groupCluster) waitForSteps(n int) {
	r.t.Helper()
	from := r.group.History().Steps
	r.waitFor("the group runs steps", func(*wire.GroupView) bool { return r.group.History().Steps >= from+n })
}

// changeGroup requests a change of the group, and repeats the request until it is answered.
func (r *groupCluster) changeGroup(verb string, epoch uint64) *wire.GroupChangeReply {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
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

func (r *groupCluster) editRow(columns map[string]string) {
	r.t.Helper()
	rows, err := r.client.Read(context.Background(), &wire.ReadRequest{Kind: "group", Key: "g", Linearizable: true})
	assert.NilError(r.t, err)
	r.accept(&wire.TableEdit{EditId: fmt.Sprint("edit-", rows.Revision), By: "tester", Rows: []*wire.RowEdit{
		{Kind: "group", Key: "g", Columns: columns, BaseVersion: rows.Rows[0].Version},
	}})
}

// checkHistory checks that all ranks used the same map in every step, and that the epochs
// of the maps never decreased.
func (r *groupCluster) checkHistory() {
	r.t.Helper()
	h := r.group.History()
	assert.Equal(r.t, h.MixedSteps, 0)
	assert.Assert(r.t, slices.IsSorted(h.Epochs), "%v", h.Epochs)
}

// switchesInForce returns the records of switches whose map came into force, newest first.
func switchesInForce(v *wire.GroupView) []*wire.SwitchRecord {
	return slices.DeleteFunc(slices.Clone(v.GetState().GetRecords()), func(s *wire.SwitchRecord) bool {
		return s.Outcome != rollout.OutcomeInForce
	})
}

// If the control leader stops during a switch, the next leader reads the switch from the
// log, ends it and plans again, and no step uses two maps.
func TestNewLeaderFinishesSwitch(t *testing.T) {
	r := startGroup(t, "test-rotate")
	r.waitFor("a first switch", func(v *wire.GroupView) bool { return len(switchesInForce(v)) > 0 })
	for range 2 {
		v := r.waitFor("a switch in progress", func(v *wire.GroupView) bool { return rollout.Undecided(v.GetState().GetSwitch()) })
		stopped := r.leader()
		r.stop(stopped)
		epoch := v.State.Switch.Map.Epoch
		later := r.waitFor("a later switch under another leader", func(v *wire.GroupView) bool {
			completed := switchesInForce(v)
			return v.Token > 0 && len(completed) > 0 && completed[0].Epoch > epoch
		})
		assert.Assert(t, later.Token > v.Token)
		assert.Assert(t, slices.ContainsFunc(later.State.Records, func(s *wire.SwitchRecord) bool { return s.Epoch == epoch }),
			"the interrupted switch has no record")
		r.start(stopped)
		r.waitHealth(control.HealthOK)
	}
	r.waitForSteps(20)
	r.checkHistory()
}

// A rank that restarts without a map runs no step until it is given the map in force. The
// other ranks wait for it, and then the group goes on.
func TestRestartedRankGetsMapInForce(t *testing.T) {
	r := startGroup(t, "test-rotate")
	r.waitFor("a first switch", func(v *wire.GroupView) bool { return len(switchesInForce(v)) > 0 })
	for rank := range r.group.Shape.Ranks {
		r.group.Restart(rank)
		r.waitForSteps(20)
	}
	r.checkHistory()
}

// After an undo, the restored map stays in force until the group is unpinned and not
// paused. An undo also works in a paused group.
func TestPinPauseAndUndo(t *testing.T) {
	r := startGroup(t, "test-rotate")
	r.waitFor("two switches", func(v *wire.GroupView) bool { return len(switchesInForce(v)) > 1 })
	assert.Assert(t, r.changeGroup(control.VerbUndo, 0).Accepted)
	v := r.waitFor("the pinned map is in force", func(v *wire.GroupView) bool {
		s := v.GetState()
		if s.GetPinned() == 0 || s.Switch != nil {
			return false
		}
		m := rollout.MapByEpoch(s, s.Pinned)
		return m != nil && slices.Equal(m.ExpertsInSlots, s.Map.ExpertsInSlots)
	})
	held := v.State.Map.Epoch
	r.waitForSteps(150)
	assert.Equal(t, r.viewWithMap().State.Map.Epoch, held)
	r.editRow(groupColumns("test-rotate", "yes"))
	assert.Assert(t, r.changeGroup(control.VerbUnpin, 0).Accepted)
	r.waitForSteps(150)
	assert.Equal(t, r.viewWithMap().State.Map.Epoch, held, "the row is paused")
	assert.Assert(t, r.changeGroup(control.VerbUndo, 0).Accepted)
	v = r.waitFor("the undo of a paused group", func(v *wire.GroupView) bool {
		return v.GetState().GetMap().GetEpoch() > held && v.State.Switch == nil
	})
	held = v.State.Map.Epoch
	assert.Assert(t, r.changeGroup(control.VerbUnpin, 0).Accepted)
	r.editRow(groupColumns("test-rotate", "no"))
	r.waitFor("planning goes on", func(v *wire.GroupView) bool { return v.GetState().GetMap().GetEpoch() > held })
	reply := r.changeGroup(control.VerbPin, 1<<40)
	assert.Assert(t, !reply.Accepted && strings.Contains(reply.Detail, "not kept"), reply.Detail)
	r.checkHistory()
}

// If a row names an unknown planner, the group's view has an error, and the group keeps
// running with the map in force.
func TestUnknownPlannerIsReported(t *testing.T) {
	r := startGroup(t, "nobody")
	v := r.waitFor("an error", func(v *wire.GroupView) bool { return strings.Contains(v.Error, "planner") })
	assert.Assert(t, strings.Contains(v.Error, "placement.nobody"), v.Error)
	r.waitForSteps(20)
	r.checkHistory()
}

// If two engines announce the same rank, the error names both and planning stops; it
// resumes once one of them leaves.
func TestDuplicateRankIsReported(t *testing.T) {
	r := startGroup(t, "test-rotate")
	r.waitFor("a first switch", func(v *wire.GroupView) bool { return len(switchesInForce(v)) > 0 })
	e := &fake.Engine{Group: r.group, Rank: 1}
	assert.NilError(t, e.Start())
	t.Cleanup(e.Close)
	r.startAgent(1, e.URL())
	r.waitFor("an error", func(v *wire.GroupView) bool {
		return strings.Contains(v.Error, "upstreams rank-1-1 and rank-1-4 both announce rank 1")
	})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	assert.NilError(t, r.agents[4].Drain(ctx))
	r.agents[4].Stop()
	before := r.groupView().GetState().GetMap().GetEpoch()
	r.waitFor("planning goes on", func(v *wire.GroupView) bool { return v.GetState().GetMap().GetEpoch() > before })
	r.checkHistory()
}

// The planner gets each rank's busy time, from which it can tell a slow rank from a loaded
// one under any map, and its reason is shown to operators.
func TestSlowRankIsReported(t *testing.T) {
	r := startGroup(t, "test-rotate")
	for range 2 {
		seen := r.groupView().GetState().GetMap().GetEpoch()
		r.waitFor("a report under another map", func(v *wire.GroupView) bool {
			return v.GetState().GetMap().GetEpoch() > seen && strings.Contains(v.GetLast().GetWhy(), "; rank 2 is slow")
		})
	}
}

// If the group's row is deleted during a switch, the leader ends the switch, releases the
// lease and sends no more orders; otherwise its orders would compete with those of the
// next holder. The group gets a new token when it has a row again.
func TestDeletedRowStopsOrdersAndReleasesLease(t *testing.T) {
	r := startGroup(t, "test-rotate")
	v := r.waitFor("a switch in progress", func(v *wire.GroupView) bool { return rollout.Undecided(v.GetState().GetSwitch()) })
	r.deleteRow()
	r.waitFor("the group has no leader", func(v *wire.GroupView) bool { return v.Group == "" })
	lease := r.requestLease(&wire.LeaseRequest{Group: "g", Holder: "other", TtlMs: 1000})
	assert.Assert(t, lease.Granted && lease.Token > v.Token, "%v", lease)
	orders := r.countLeaderOrders()
	r.waitForSteps(200)
	assert.Equal(t, r.countLeaderOrders(), orders)
	assert.Assert(t, r.requestLease(&wire.LeaseRequest{Group: "g", Holder: "other", Release: true}).Token == lease.Token)
	r.accept(&wire.TableEdit{EditId: "again", By: "tester", Rows: []*wire.RowEdit{
		{Kind: "group", Key: "g", Columns: groupColumns("test-rotate", "no")},
	}})
	r.waitFor("a switch under a new token", func(now *wire.GroupView) bool {
		return now.Token > lease.Token && now.GetState().GetMap().GetEpoch() > v.State.Map.Epoch
	})
	r.checkHistory()
}

func (r *groupCluster) deleteRow() {
	r.t.Helper()
	rows, err := r.client.Read(context.Background(), &wire.ReadRequest{Kind: "group", Key: "g", Linearizable: true})
	assert.NilError(r.t, err)
	r.accept(&wire.TableEdit{EditId: "delete", By: "tester", Rows: []*wire.RowEdit{
		{Kind: "group", Key: "g", Delete: true, BaseVersion: rows.Rows[0].Version},
	}})
}

func (r *groupCluster) requestLease(req *wire.LeaseRequest) (reply *wire.LeaseReply) {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	assert.NilError(r.t, r.client.Call(ctx, func(ctx context.Context, c wire.DRPCControlClient) (err error) {
		reply, err = c.Acquire(ctx, req)
		return err
	}))
	return reply
}

// countLeaderOrders counts the orders of the leader. It leaves out status orders without an
// incarnation, which the agents send to their own ranks; the leader sends such orders only
// to ranks that haven't answered it yet.
func (r *groupCluster) countLeaderOrders() int {
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
