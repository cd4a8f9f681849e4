package control_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/snipereach/snipereach/control"
	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/fake"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

var sec = transport.Security{Secret: []byte("a secret of the tests")}

// cluster runs control replicas over real folders and loopback sockets.
type cluster struct {
	t       *testing.T
	dir     string
	addrs   []string
	running []*runningReplica
	pool    *transport.Pool
	client  *control.Client
	// configure, if set, changes the settings of each replica.
	configure func(*control.Settings)
}

type runningReplica struct {
	ctl  *control.Control
	srv  *transport.Server
	pool *transport.Pool
	lis  net.Listener
	// stopFollowing ends the watches of the other replicas' directories.
	stopFollowing context.CancelFunc
}

// reserveAddress returns an address whose port stays reserved until the test ends, also while
// the replica at the address is stopped.
func reserveAddress(t *testing.T) string {
	address, release, err := fake.ReservePort()
	assert.NilError(t, err)
	t.Cleanup(release)
	return address
}

func newCluster(t *testing.T, n int) *cluster { return newClusterWith(t, n, nil) }

func newClusterWith(t *testing.T, n int, configure func(*control.Settings)) *cluster {
	c := &cluster{t: t, dir: t.TempDir(), pool: transport.NewPool(sec), running: make([]*runningReplica, n), configure: configure}
	for range n {
		c.addrs = append(c.addrs, reserveAddress(t))
	}
	for i := range n {
		c.start(i)
	}
	c.client = control.NewClient(c.pool, c.addrs, "test")
	t.Cleanup(func() {
		for i := range n {
			c.stop(i)
		}
		c.pool.Close()
	})
	return c
}

func (c *cluster) folder(i int) string { return filepath.Join(c.dir, fmt.Sprint(i)) }

func (c *cluster) start(i int) {
	c.t.Helper()
	lis, err := net.Listen("tcp", c.addrs[i])
	assert.NilError(c.t, err)
	s := control.DefaultSettings()
	s.DataDir = c.folder(i)
	s.Members = c.addrs
	s.FormCluster = true
	s.ElectionTimeout = kernel.Duration(300 * time.Millisecond)
	s.Heartbeat = kernel.Duration(50 * time.Millisecond)
	s.ReplaceAfter = kernel.Duration(600 * time.Millisecond)
	s.SnapshotEvery = 20
	r := &runningReplica{srv: transport.NewServer(sec), pool: transport.NewPool(sec), lis: lis}
	s.Groups.CounterPeriod = kernel.Duration(60 * time.Millisecond)
	s.Groups.PlanPeriod = kernel.Duration(200 * time.Millisecond)
	if c.configure != nil {
		c.configure(&s)
	}
	r.ctl, err = control.New(s, log.NewNopLogger(), r.pool)
	assert.NilError(c.t, err)
	node := directory.NewNode(directory.DefaultSettings(), time.Now, nil)
	assert.NilError(c.t, wire.DRPCRegisterDirectory(r.srv.Mux, node))
	r.ctl.SetUpstreamSource(control.UpstreamLister(node))
	assert.NilError(c.t, r.ctl.Register(r.srv.Mux))
	go r.srv.Serve(context.Background(), lis)
	place := control.ReplicaInfo{Name: fmt.Sprintf("c%d", i), Address: c.addrs[i], FailureDomain: fmt.Sprintf("hall-%d", i)}
	assert.NilError(c.t, r.ctl.Start(context.Background(), place))
	ctx, cancel := context.WithCancel(context.Background())
	r.stopFollowing = cancel
	node.FollowPeers(ctx, c.addrs, c.addrs[i], r.pool.Conn, place.Name)
	c.running[i] = r
}

func (c *cluster) stop(i int) {
	r := c.running[i]
	if r == nil {
		return
	}
	c.running[i] = nil
	_ = r.lis.Close()
	r.stopFollowing()
	r.srv.Close()
	r.ctl.Stop()
	r.pool.Close()
}

// addReplica starts a replica at a further address and returns its index.
func (c *cluster) addReplica() int {
	c.t.Helper()
	c.addrs = append(c.addrs, reserveAddress(c.t))
	c.running = append(c.running, nil)
	i := len(c.addrs) - 1
	c.start(i)
	c.t.Cleanup(func() { c.stop(i) })
	return i
}

const testTimeout = 20 * time.Second

// edit sends an edit until it is accepted or refused.
func (c *cluster) edit(e *wire.TableEdit) *wire.EditReply {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for {
		reply, err := c.client.Edit(ctx, e)
		if err == nil {
			return reply
		}
		assert.NilError(c.t, ctx.Err(), "%v", err)
		time.Sleep(30 * time.Millisecond)
	}
}

func poolEdit(id, key, slots string, base uint64) *wire.TableEdit {
	return &wire.TableEdit{EditId: id, By: "tester", Rows: []*wire.RowEdit{
		{Kind: "pool", Key: key, Columns: map[string]string{"slots": slots}, BaseVersion: base},
	}}
}

func (c *cluster) accept(e *wire.TableEdit) *wire.EditReply {
	c.t.Helper()
	reply := c.edit(e)
	assert.Equal(c.t, reply.Status, wire.EditStatus_EDIT_STATUS_ACCEPTED, reply.Detail)
	return reply
}

func (c *cluster) health() (string, []*wire.Member) {
	var reply *wire.MembersReply
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_ = c.client.Call(ctx, func(ctx context.Context, cc wire.DRPCControlClient) error {
		r, err := cc.Members(ctx, &wire.MembersRequest{})
		reply = r
		return err
	})
	if reply == nil {
		return "", nil
	}
	return reply.Health, reply.Members
}

func (c *cluster) waitHealth(want string) []*wire.Member {
	c.t.Helper()
	var got string
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
		health, members := c.health()
		if got = health; got == want {
			return members
		}
	}
	c.t.Fatalf("health is %q, not %q", got, want)
	return nil
}

func (c *cluster) leader() int {
	c.t.Helper()
	for _, m := range c.waitHealthAny() {
		for i, a := range c.addrs {
			if m.Leader && m.Address == a {
				return i
			}
		}
	}
	c.t.Fatal("no leader")
	return -1
}

func (c *cluster) waitHealthAny() []*wire.Member {
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
		if _, members := c.health(); members != nil {
			return members
		}
	}
	return nil
}

func (c *cluster) rows() map[string]string {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for {
		reply, err := c.client.Read(ctx, &wire.ReadRequest{Kind: "pool", Linearizable: true})
		if err == nil {
			m := map[string]string{}
			for _, r := range reply.Rows {
				m[r.Key] = r.Columns["slots"]
			}
			return m
		}
		assert.NilError(c.t, ctx.Err(), "%v", err)
		time.Sleep(30 * time.Millisecond)
	}
}

// Of two edits of the same row version one is accepted, and the other is refused with the row
// in force. Sending an accepted edit again to another leader returns the same result and
// changes nothing. Reusing its ID for another edit is refused.
func TestConflictingAndRepeatedEdits(t *testing.T) {
	c := newCluster(t, 3)
	first := c.accept(poolEdit("a", "lm", "8", 0))
	second := c.edit(poolEdit("b", "lm", "9", 0))
	assert.Equal(t, second.Status, wire.EditStatus_EDIT_STATUS_CONFLICT)
	assert.Equal(t, second.Rows[0].Columns["slots"], "8")
	assert.Equal(t, second.Rows[0].ChangedBy, "tester")
	c.stop(c.leader())
	again := c.edit(poolEdit("a", "lm", "8", 0))
	assert.Assert(t, again.Replayed)
	assert.Equal(t, again.Revision, first.Revision)
	reused := c.edit(poolEdit("a", "other", "8", 0))
	assert.Equal(t, reused.Status, wire.EditStatus_EDIT_STATUS_INVALID)
}

// A replica that has lost its disk joins again, and the health is "degraded" until it has
// caught up. After the loss of a second disk every accepted row is still there.
func TestRowsSurviveSecondDiskLossAfterRepair(t *testing.T) {
	c := newCluster(t, 3)
	want := map[string]string{}
	put := func(n int) {
		key := fmt.Sprintf("p%d", n)
		want[key] = fmt.Sprint(n + 1)
		c.accept(poolEdit(key, key, want[key], 0))
	}
	for n := range 50 {
		put(n)
	}
	c.waitHealth(control.HealthOK)
	lost := (c.leader() + 1) % 3
	c.stop(lost)
	assert.NilError(t, os.RemoveAll(c.folder(lost)))
	put(50)
	c.waitHealth(control.HealthDegraded)
	c.start(lost)
	members := c.waitHealth(control.HealthOK)
	assert.Equal(t, len(members), 3)
	second := (lost + 1) % 3
	c.stop(second)
	assert.NilError(t, os.RemoveAll(c.folder(second)))
	assert.DeepEqual(t, c.rows(), want)
	put(51)
	assert.DeepEqual(t, c.rows(), want)
}

// Accepted rows and edit IDs survive a restart of all replicas.
func TestRowsSurviveFullClusterRestart(t *testing.T) {
	c := newCluster(t, 3)
	for n := range 30 {
		c.accept(poolEdit(fmt.Sprint(n), "lm", fmt.Sprint(n+1), uint64(n)))
	}
	for i := range 3 {
		c.stop(i)
	}
	for i := range 3 {
		c.start(i)
	}
	assert.DeepEqual(t, c.rows(), map[string]string{"lm": "30"})
	assert.Assert(t, c.edit(poolEdit("7", "lm", "8", 7)).Replayed)
}

// Few but large configurations are put. A replica must take a snapshot once its segment of the
// log is full, though the number of entries is far from SnapshotEvery; otherwise the log would
// outgrow the disk.
func TestFullSegmentIsReplacedBySnapshot(t *testing.T) {
	c := newClusterWith(t, 1, func(s *control.Settings) { s.SnapshotEvery = 1_000_000 })
	pool := transport.NewPool(sec)
	defer pool.Close()
	incompressible := make([]byte, 3<<20)
	_, _ = rand.NewChaCha8([32]byte{}).Read(incompressible)
	put := func(version uint64) bool {
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		reply, err := wire.NewDRPCRoutingClient(pool.Conn(ctx, c.addrs[0])).Put(ctx, &wire.PutRoutingRequest{
			Config: &wire.RoutingConfig{Version: version, Source: incompressible},
		})
		return err == nil && reply.Status == wire.PutRoutingStatus_PUT_ROUTING_STATUS_ACCEPTED
	}
	snapshots := func() []string {
		list, err := filepath.Glob(filepath.Join(c.folder(0), "snapshot-*"))
		assert.NilError(t, err)
		return list
	}
	c.waitHealthAny()
	before := snapshots()
	for version := uint64(1); version <= 6; version++ {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if put(version) {
				return poll.Success()
			}
			return poll.Continue("version %d isn't accepted", version)
		}, poll.WithTimeout(testTimeout))
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if slices.Equal(snapshots(), before) {
			return poll.Continue("no snapshot but %v", before)
		}
		return poll.Success()
	}, poll.WithTimeout(testTimeout))
}

// Removing a member that is needed for a quorum is refused with a reason, and the cluster keeps
// accepting edits.
func TestRemovalThatLosesQuorumIsRefused(t *testing.T) {
	c := newCluster(t, 3)
	c.accept(poolEdit("a", "lm", "8", 0))
	members := c.waitHealth(control.HealthOK)
	leader := c.leader()
	c.stop((leader + 1) % 3)
	c.waitHealth(control.HealthDegraded)
	var reply *wire.MembersReply
	for _, m := range members {
		if m.Address != c.addrs[(leader+2)%3] {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		assert.NilError(t, c.client.Call(ctx, func(ctx context.Context, cc wire.DRPCControlClient) (err error) {
			reply, err = cc.Members(ctx, &wire.MembersRequest{Verb: control.VerbRemove, Member: m})
			return err
		}))
	}
	assert.Assert(t, reply.Refused)
	assert.Assert(t, reply.Detail != "")
	c.accept(poolEdit("b", "lm", "9", 1))
}

// The gauges report the leader, and -1 for a replica that has stopped.
func TestGaugesReportLeader(t *testing.T) {
	c := newCluster(t, 3)
	c.accept(poolEdit("a", "lm", "8", 0))
	c.waitHealth(control.HealthOK)
	registries := make([]metrics.Registry, 3)
	for i, r := range c.running {
		registries[i] = metrics.NewRegistry()
		r.ctl.RegisterMetrics(registries[i])
	}
	gauge := func(i int, name string) int64 { return registries[i].Get(name).(metrics.Gauge).Value() }
	leader := -1
	for end := time.Now().Add(testTimeout); leader < 0 && time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
		for i := range registries {
			if gauge(i, "control.leader") == 1 {
				leader = i
			}
		}
	}
	assert.Assert(t, leader >= 0, "no replica reports that it leads")
	assert.Assert(t, gauge(leader, "control.revision") > 0)
	assert.Equal(t, gauge(leader, "control.failed"), int64(0))
	c.stop(leader)
	assert.Equal(t, gauge(leader, "control.leader"), int64(-1))
}
