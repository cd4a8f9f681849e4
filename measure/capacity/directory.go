package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/internal/meter"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

var security = transport.Security{Secret: []byte("a secret of the measurement")}

const (
	announceInterval = 500 * time.Millisecond
	announceLease    = 3 * time.Second
	// settleDown is the wait for connections to be established before a measurement.
	settleDown = 1500 * time.Millisecond
	// waitTimeout bounds every wait for a condition.
	waitTimeout = 20 * time.Second
)

// directoryServer serves a directory on loopback.
type directoryServer struct {
	node *directory.Node
	lis  *meter.Listener
	srv  *transport.Server
	stop context.CancelFunc
	ctx  context.Context
}

func startDirectory() (*directoryServer, error) {
	lis, err := meter.Listen()
	if err != nil {
		return nil, err
	}
	settings := directory.DefaultSettings()
	settings.SettleTime = 0
	s := &directoryServer{node: directory.NewNode(settings, time.Now, nil), lis: lis, srv: transport.NewServer(security)}
	s.ctx, s.stop = context.WithCancel(context.Background())
	if err := wire.DRPCRegisterDirectory(s.srv.Mux, s.node); err != nil {
		return nil, err
	}
	go s.srv.Serve(s.ctx, lis)
	go s.node.Run(s.ctx)
	return s, nil
}

func (s *directoryServer) close() {
	s.stop()
	_ = s.lis.Close()
	s.srv.Close()
}

func (s *directoryServer) address() string { return s.lis.Addr().String() }

// announcement returns the announcement of instance i, of a realistic size.
func announcement(role wire.Role, i int, seq uint64) *wire.Announcement {
	a := &wire.Announcement{
		Id: fmt.Sprintf("upstream-%05d", i), Incarnation: 1764670000000000000, Seq: seq,
		Role: role, Phase: wire.Phase_PHASE_UP, FailureDomain: fmt.Sprintf("hall-%02d", i%19),
		Address: fmt.Sprintf("10.20.%d.%d:7100", i/250, i%250), Pools: []string{"pushpa-lm"}, Kind: "engine",
		Group: fmt.Sprintf("group-%03d", i/4), Rank: uint32(i % 4), LeaseMs: 3000,
		Load: &wire.Load{Seq: seq, Running: 8, Waiting: 3, Slots: 8, PendingTokens: 4096, CachePermille: 700},
	}
	if role == wire.Role_ROLE_ENTRY {
		a.Id, a.Pools, a.Kind, a.Group, a.Load = fmt.Sprintf("entry-%05d", i), nil, "", "", nil
		a.CallerAddress, a.Listed = a.Address, true
	}
	return a
}

// measureAnnounce measures agents that announce to one directory, each over its own
// connection. The directory holds only these agents, or besides them the largest
// configured number of instances.
func measureAnnounce(o options) error {
	fmt.Printf("%9s %7s %14s %16s %18s %20s %16s\n", "instances", "agents", "calls/s, each", "B/s in, each", "B/s back, each", "CPU µs/announcement", "CPU µs/s, each")
	for _, others := range []int{0, slices.Max(o.Instances)} {
		for _, n := range o.Agents {
			if err := announceOnce(o, others, n); err != nil {
				return err
			}
		}
	}
	return nil
}

func announceOnce(o options, others, n int) error {
	s, err := startDirectory()
	if err != nil {
		return err
	}
	defer s.close()
	for i := range others {
		_, _ = s.node.Announce(s.ctx, withLease(announcement(wire.Role_ROLE_ENTRY, i, 1), 30_000))
	}
	ctx, cancel := context.WithCancel(s.ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	var calls atomic.Int64
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			announceLoop(ctx, s.address(), i, n, &calls)
		}()
	}
	time.Sleep(settleDown)
	before := calls.Load()
	usage := meter.Measure(s.lis, func() { time.Sleep(o.time()) })
	share := float64(n) * usage.Elapsed.Seconds()
	made := float64(calls.Load() - before)
	cpu := meter.Micros(usage.CPU)
	fmt.Printf("%9d %7d %14.2f %16.0f %18.0f %20.1f %16.0f\n", others, n, made/share,
		float64(usage.Received)/share, float64(usage.Sent)/share, cpu/made, cpu/share)
	return nil
}

func announceLoop(ctx context.Context, addr string, i, n int, calls *atomic.Int64) {
	pool := transport.NewPool(security)
	defer pool.Close()
	targets := directory.NewTargets(fmt.Sprint(i), "hall-00", []string{addr})
	targets.UpdateReplicas([]*wire.DirectoryReplica{{Address: addr, FailureDomain: "hall-00"}})
	a := directory.NewAnnouncer(targets, pool.Conn, time.Now)
	wait := announceInterval * time.Duration(i) / time.Duration(n)
	for seq := uint64(1); ; seq++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		a.Announce(ctx, announcement(wire.Role_ROLE_UPSTREAM, i, seq))
		calls.Add(1)
		wait = a.Interval(announceInterval, announceLease)
	}
}

// fill announces instances to the directory and renews them until the context ends. It
// bypasses the sockets, so that only the watches are measured.
func (s *directoryServer) fill(ctx context.Context, role wire.Role, n int) {
	for i := range n {
		_, _ = s.node.Announce(ctx, announcement(role, i, 1))
	}
	go func() {
		for seq := uint64(2); ctx.Err() == nil; seq++ {
			for i := range n {
				_, _ = s.node.Announce(ctx, announcement(role, i, seq))
			}
			time.Sleep(announceInterval)
		}
	}()
}

// follower is a directory that watches the server's one, as an entry does.
type follower struct {
	node *directory.Node
	pool *transport.Pool
}

func (s *directoryServer) startFollower(ctx context.Context, name string) *follower {
	f := &follower{node: directory.NewNode(directory.DefaultSettings(), time.Now, nil), pool: transport.NewPool(security)}
	targets := directory.NewTargets(name, "hall-00", []string{s.address()})
	go f.node.FollowOne(ctx, targets, func(ctx context.Context, addr string) drpc.Conn { return f.pool.Conn(ctx, addr) }, name)
	return f
}

// startFollowers starts watchers and waits until each has the whole directory.
func (s *directoryServer) startFollowers(ctx context.Context, count, instances int, role wire.Role) ([]*follower, error) {
	var list []*follower
	for i := range count {
		list = append(list, s.startFollower(ctx, fmt.Sprint("watcher-", i)))
	}
	end := time.Now().Add(waitTimeout)
	for _, f := range list {
		for len(f.node.Instances(role)) < instances {
			if time.Now().After(end) {
				return nil, fmt.Errorf("a watcher has %d of %d instances", len(f.node.Instances(role)), instances)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return list, nil
}

func closeAll(list []*follower) {
	for _, f := range list {
		f.pool.Close()
	}
}

// measureWatch measures the bytes and processor time of an idle watch and the size of
// the first copy, and prints what a renewal message for each instance would take.
func measureWatch(o options) error {
	fmt.Printf("%10s %14s %18s %16s %22s\n", "instances", "B/s, each", "CPU µs/s, each", "first copy, B", "renewals one by one B/s")
	for _, n := range o.Instances {
		if err := watchOnce(o, n); err != nil {
			return err
		}
	}
	return nil
}

func watchOnce(o options, n int) error {
	s, err := startDirectory()
	if err != nil {
		return err
	}
	defer s.close()
	// A long lease, announced once, avoids renewals, which would cost more than the
	// watches.
	for i := range n {
		_, _ = s.node.Announce(s.ctx, withLease(announcement(wire.Role_ROLE_UPSTREAM, i, 1), 30_000))
	}
	alone := meter.Measure(s.lis, func() { time.Sleep(o.time()) })
	before := s.lis.Sent()
	list, err := s.startFollowers(s.ctx, o.Watchers, n, wire.Role_ROLE_UPSTREAM)
	defer closeAll(list)
	if err != nil {
		return err
	}
	first := float64(s.lis.Sent()-before) / float64(o.Watchers)
	time.Sleep(settleDown)
	usage := meter.Measure(s.lis, func() { time.Sleep(o.time()) })
	share := float64(o.Watchers) * usage.Elapsed.Seconds()
	cpu := meter.Micros(usage.CPU) - meter.Micros(alone.CPU)*usage.Elapsed.Seconds()/alone.Elapsed.Seconds()
	fmt.Printf("%10d %14.0f %18.0f %16.0f %22.0f\n", n, float64(usage.Sent)/share, cpu/share, first, renewalsPerSecond(n))
	return nil
}

// renewalsPerSecond returns the bytes per second of one renewal for each instance and
// announce interval.
func renewalsPerSecond(n int) float64 {
	sum := 0
	for i := range n {
		a := announcement(wire.Role_ROLE_UPSTREAM, i, 100_000)
		sum += proto.Size(&wire.DirectoryUpdate{Renewals: []*wire.Renewal{{Id: a.Id, Incarnation: a.Incarnation, Seq: a.Seq, AgeMs: 100}}})
	}
	return float64(sum) / announceInterval.Seconds()
}
