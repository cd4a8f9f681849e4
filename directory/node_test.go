package directory

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

var sec = transport.Security{Secret: []byte("a secret of the tests")}

// patience bounds waits; no verdict depends on how long they take.
const patience = 20 * time.Second

// socketReplica is a replica's directory on loopback.
type socketReplica struct {
	node *Node
	lis  net.Listener
	srv  *transport.Server
	pool *transport.Pool
	stop context.CancelFunc
}

func (r *socketReplica) close() {
	r.stop()
	_ = r.lis.Close()
	r.srv.Close()
	r.pool.Close()
}

// slow holds a source's word for longer than the test lasts: a machine that
// stalls must not change the verdict.
func slow() Settings {
	s := unsettled()
	s.VouchLease = time.Hour
	s.MaxLease = time.Hour
	return s
}

func startReplicas(t *testing.T, n int) (list []*socketReplica, addrs []string) {
	for range n {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		addrs = append(addrs, lis.Addr().String())
		list = append(list, &socketReplica{lis: lis, node: NewNode(slow(), time.Now, nil), srv: transport.NewServer(sec), pool: transport.NewPool(sec)})
	}
	known := func(context.Context) (all []*wire.DirectoryReplica) {
		for i, a := range addrs {
			all = append(all, &wire.DirectoryReplica{Address: a, FailureDomain: fmt.Sprintf("hall-%d", i)})
		}
		return all
	}
	for i, r := range list {
		var ctx context.Context
		ctx, r.stop = context.WithCancel(context.Background())
		r.node.SetReplicas(known)
		assert.NilError(t, wire.DRPCRegisterDirectory(r.srv.Mux, r.node))
		go r.srv.Serve(ctx, r.lis)
		go r.node.Run(ctx)
		r.node.FollowPeers(ctx, addrs, addrs[i], r.pool.Conn, fmt.Sprint("r", i))
	}
	return list, addrs
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !f(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), what)
	}
}

// An entry follows one replica and that one dies. Upstreams that announced to it
// go to another with the same announcement, and the entry still hears who leaves
// and who is new; nobody is taken for gone.
func TestFollowedReplicaDiesOverSockets(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	replicas, addrs := startReplicas(t, 3)
	ctx, cancel := context.WithCancel(context.Background())
	pool := transport.NewPool(sec)
	var announcers []*Announcer
	for i := range 6 {
		targets := NewTargets(fmt.Sprint("u", i), fmt.Sprintf("hall-%d", i%3), addrs)
		announcers = append(announcers, NewAnnouncer(targets, pool.Conn, time.Now))
	}
	seq := uint64(0)
	// As an agent does, it announces again: one that is late on a busy machine is
	// made up for by the next.
	announce := func(i int, phase wire.Phase) {
		eventually(t, "two replicas hold it", func() bool {
			seq++
			a := up(fmt.Sprint("u", i), 1, seq)
			a.Phase, a.LeaseMs = phase, 3_600_000
			return len(announcers[i].Announce(ctx, a)) == announceTo
		})
	}
	entry := NewNode(slow(), time.Now, nil)
	go entry.Run(ctx)
	targets := NewTargets("entry", "hall-0", addrs)
	followed := targets.Pick(time.Now(), 1)[0]
	go entry.FollowOne(ctx, targets, pool.Conn, "entry")
	for i := range 5 {
		announce(i, wire.Phase_PHASE_UP)
	}
	eventually(t, "the entry knows five", func() bool { return len(entry.Instances(wire.Role_ROLE_UPSTREAM)) == 5 })
	for i, a := range addrs {
		if a == followed {
			replicas[i].close()
		}
	}
	announce(0, wire.Phase_PHASE_LEAVING)
	announce(5, wire.Phase_PHASE_UP)
	eventually(t, "the entry hears of both", func() bool {
		list := entry.Instances(wire.Role_ROLE_UPSTREAM)
		assert.Assert(t, len(list) >= 5, "one was taken for gone")
		return len(list) == 6 && list[0].Phase == wire.Phase_PHASE_LEAVING && list[5].Up()
	})
	cancel()
	for i, a := range addrs {
		if a != followed {
			replicas[i].close()
		}
	}
	pool.Close()
}
