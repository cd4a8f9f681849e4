package directory

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"storj.io/drpc"

	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

var testSecurity = transport.Security{Secret: []byte("a secret of the tests")}

// waitTimeout bounds waiting for a condition; no check depends on how long it takes.
const waitTimeout = 20 * time.Second

// socketReplica is a control replica that serves its directory on loopback.
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

// longLeases returns settings whose leases outlast the test, so that a stalled test
// machine doesn't change its result.
func longLeases() Settings {
	s := noSettling()
	s.SourceLease = time.Hour
	s.MaxLease = time.Hour
	return s
}

func startReplicas(t *testing.T, n int) (list []*socketReplica, addrs []string) {
	for range n {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		addrs = append(addrs, lis.Addr().String())
		list = append(list, &socketReplica{lis: lis, node: NewNode(longLeases(), time.Now, nil), srv: transport.NewServer(testSecurity), pool: transport.NewPool(testSecurity)})
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
	for end := time.Now().Add(waitTimeout); !f(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), what)
	}
}

// When the followed replica fails, announcements move to another replica and the entry
// still learns which upstreams leave or are new; none may be marked as gone.
func TestFollowedReplicaFailsOverSockets(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	replicas, addrs := startReplicas(t, 3)
	ctx, cancel := context.WithCancel(context.Background())
	pool := transport.NewPool(testSecurity)
	var announcers []*Announcer
	for i := range 6 {
		targets := NewTargets(fmt.Sprint("u", i), fmt.Sprintf("hall-%d", i%3), addrs)
		announcers = append(announcers, NewAnnouncer(targets, pool.Conn, time.Now))
	}
	seq := uint64(0)
	// Repeats the announcement as an agent does, which makes up for one that timed out
	// on a busy machine.
	announce := func(i int, phase wire.Phase) {
		eventually(t, "two replicas received the announcement", func() bool {
			seq++
			a := upAnnouncement(fmt.Sprint("u", i), 1, seq)
			a.Phase, a.LeaseMs = phase, 3_600_000
			return len(announcers[i].Announce(ctx, a)) == replicasPerAnnouncement
		})
	}
	entry := NewNode(longLeases(), time.Now, nil)
	go entry.Run(ctx)
	targets := NewTargets("entry", "hall-0", addrs)
	followed := targets.Pick(time.Now(), 1)[0]
	go entry.FollowOne(ctx, targets, pool.Conn, "entry")
	for i := range 5 {
		announce(i, wire.Phase_PHASE_UP)
	}
	eventually(t, "the entry knows five upstreams", func() bool { return len(entry.Instances(wire.Role_ROLE_UPSTREAM)) == 5 })
	for i, a := range addrs {
		if a == followed {
			replicas[i].close()
		}
	}
	announce(0, wire.Phase_PHASE_LEAVING)
	announce(5, wire.Phase_PHASE_UP)
	eventually(t, "the entry knows both changes", func() bool {
		list := entry.Instances(wire.Role_ROLE_UPSTREAM)
		assert.Assert(t, len(list) >= 5, "an upstream was marked as gone")
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

// A process starts before it knows any replica. It must wait for one to become known.
func TestFollowOneWaitsForReplica(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 3*redialDelay)
	defer cancel()
	n := NewNode(longLeases(), time.Now, nil)
	dial := func(context.Context, string) drpc.Conn {
		t.Error("dialed without an address")
		return nil
	}
	n.FollowOne(ctx, NewTargets("e", "z", nil), dial, "e")
}
