package directory

import (
	"context"
	"slices"
	"time"

	"storj.io/drpc"

	"github.com/snipereach/snipereach/wire"
)

const (
	redialDelay = 100 * time.Millisecond
	// maxMissedKeepalives is how many keepalive intervals may pass without a message
	// before a watch is closed. A partition that drops packets doesn't break the
	// connection, and without this limit the watcher would wait until all leases expire.
	maxMissedKeepalives = 3
	// initialWatchTimeout applies until the sender has announced its keepalive interval.
	initialWatchTimeout = maxMissedKeepalives * minKeepaliveInterval
)

// watchTimeout returns how long to wait for the next message of a sender that announced
// it within nextMS milliseconds.
func watchTimeout(nextMS uint32) time.Duration {
	next := min(time.Duration(nextMS)*time.Millisecond, maxKeepaliveInterval)
	return maxMissedKeepalives * max(next, minKeepaliveInterval)
}

// Follow copies the directory of another node until the context is done, and
// reconnects when the watch ends.
func (n *Node) Follow(ctx context.Context, conn func(context.Context) drpc.Conn, req *wire.DirectoryWatchRequest) {
	var last *Source
	for ctx.Err() == nil {
		last = n.followWatch(ctx, conn(ctx), req, last, nil)
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

// FollowPeers follows the other control replicas in the background. Each is asked only
// for the instances that announce to it directly.
func (n *Node) FollowPeers(ctx context.Context, replicas []string, own string, dial Dial, watcher string) {
	for _, addr := range replicas {
		if addr == own {
			continue
		}
		conn := func(ctx context.Context) drpc.Conn { return dial(ctx, addr) }
		go n.Follow(ctx, conn, &wire.DirectoryWatchRequest{Watcher: watcher, LocalOnly: true})
	}
}

// listPollInterval is how often FollowList polls its list of addresses.
const listPollInterval = 500 * time.Millisecond

// FollowEach follows all replicas that peers lists, in the background, and follows
// changes of the list.
//
// Replicas only copy each other's directly announced instances (LocalOnly), as they
// would otherwise keep stale instances alive for each other. A process that is not a
// replica copies the whole directory of each: an upstream announces to a few replicas
// at a time, and if a partition silences the replicas at slightly different times,
// instances known only to the first ones would otherwise count as gone while the
// last one still sends updates.
func (n *Node) FollowEach(ctx context.Context, peers func() []string, dial Dial, req *wire.DirectoryWatchRequest) {
	go FollowList(ctx, peers, func(ctx context.Context, addr string) {
		n.Follow(ctx, func(ctx context.Context) drpc.Conn { return dial(ctx, addr) }, req)
	})
}

// FollowList runs one follower for each address of a list, and starts and stops
// followers as the list changes, until the context is done. follow must return when
// its context is done.
func FollowList(ctx context.Context, list func() []string, follow func(context.Context, string)) {
	cancels := map[string]context.CancelFunc{}
	tick := time.NewTicker(listPollInterval)
	defer tick.Stop()
	for {
		current := list()
		for _, addr := range current {
			if cancels[addr] != nil {
				continue
			}
			var followCtx context.Context
			followCtx, cancels[addr] = context.WithCancel(ctx)
			go follow(followCtx, addr)
		}
		for addr, cancel := range cancels {
			if !slices.Contains(current, addr) {
				cancel()
				delete(cancels, addr)
			}
		}
		select {
		case <-ctx.Done():
			for _, cancel := range cancels {
				cancel()
			}
			return
		case <-tick.C:
		}
	}
}

// FollowAll follows all replicas of targets, in the background, as FollowEach does. Only the first of
// them sends announcements; the others send references, which say what they vouch for in a few bytes
// an instance. A watch is opened anew when another replica becomes the first.
func (n *Node) FollowAll(ctx context.Context, targets *Targets, dial Dial, watcher string) {
	isFirst := func(addr string) bool { return targets.Addresses()[0] == addr }
	go FollowList(ctx, targets.Addresses, func(ctx context.Context, addr string) {
		var last *Source
		for ctx.Err() == nil {
			first := isFirst(addr)
			req := &wire.DirectoryWatchRequest{Watcher: watcher, References: !first}
			last = n.followWatch(ctx, dial(ctx, addr), req, last, func(*wire.DirectoryUpdate) bool { return isFirst(addr) != first })
			select {
			case <-ctx.Done():
			case <-time.After(redialDelay):
			}
		}
	})
}

// FollowOne copies the whole directory of one replica until the context is done, and
// switches to another when that replica stops sending updates or has just started.
// Instances reported by the previous replica stay alive in the meantime, for
// Settings.SourceLease. While no replica is known, it waits for one.
func (n *Node) FollowOne(ctx context.Context, targets *Targets, dial Dial, watcher string) {
	req := &wire.DirectoryWatchRequest{Watcher: watcher}
	var last *Source
	for ctx.Err() == nil {
		for _, addr := range targets.Pick(n.now(), 1) {
			last = n.followWatch(ctx, dial(ctx, addr), req, last, func(u *wire.DirectoryUpdate) bool {
				return u.Settling && targets.HasAlternative(addr, n.now())
			})
			targets.MarkFailed(addr, n.now())
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

// followWatch runs one watch until it ends or shouldLeave, if not nil, returns true. It
// returns the source that sent the latest update.
func (n *Node) followWatch(ctx context.Context, conn drpc.Conn, req *wire.DirectoryWatchRequest, last *Source, shouldLeave func(*wire.DirectoryUpdate) bool) *Source {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(initialWatchTimeout, cancel)
	defer idleTimer.Stop()
	src := &Source{Previous: last, FullCopy: !req.LocalOnly}
	stream, err := wire.NewDRPCDirectoryClient(conn).Watch(ctx, n.resumeRequest(src, req))
	if err != nil {
		return last
	}
	defer stream.Close()
	for {
		u, err := stream.Recv()
		if err != nil {
			return last
		}
		last = src
		idleTimer.Reset(watchTimeout(u.NextMs))
		changed := n.apply(src, u)
		if n.resolveReferences(ctx, conn, src) {
			changed = true
		}
		if changed {
			n.onChange()
		}
		if shouldLeave != nil && shouldLeave(u) {
			return last
		}
	}
}

// resumeRequest returns the request of a watch. For a copy of the whole directory it
// includes the digest of what is already known, unless that is too little for the
// digest to be shorter than a copy. This saves a full transfer on each reconnect.
func (n *Node) resumeRequest(src *Source, req *wire.DirectoryWatchRequest) *wire.DirectoryWatchRequest {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !src.FullCopy || n.state.Len() < digestBuckets {
		return req
	}
	return &wire.DirectoryWatchRequest{Watcher: req.Watcher, Known: n.state.PrepareResume(src), References: req.References}
}

func (n *Node) apply(src *Source, u *wire.DirectoryUpdate) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	defer n.wakeWatchers()
	return n.state.Apply(n.now(), src, u)
}
