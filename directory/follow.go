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
	// silentParts is how many of the intervals at which its sender speaks a watch may say
	// nothing. Behind a silent cut the connection doesn't break, and without a limit the
	// watcher would wait until all leases have run out.
	silentParts = 3
	// silentWatch is that limit until the sender has told its interval.
	silentWatch = silentParts * vouchInterval
)

// silenceAfter is how long a sender may say nothing that said when it speaks again.
func silenceAfter(nextMS uint32) time.Duration {
	next := min(time.Duration(nextMS)*time.Millisecond, longestSpeak)
	return silentParts * max(next, vouchInterval)
}

// Follow copies what announces to another node until the context is done. Nodes
// of control replicas follow each other so.
func (n *Node) Follow(ctx context.Context, conn func(context.Context) drpc.Conn, req *wire.DirectoryWatchRequest) {
	var last *Source
	for ctx.Err() == nil {
		last = n.followOnce(ctx, conn(ctx), req, last, nil)
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

// FollowPeers follows the other control replicas, in the background. Each is
// asked only for what announced to it itself.
func (n *Node) FollowPeers(ctx context.Context, replicas []string, own string, dial Dial, watcher string) {
	for _, addr := range replicas {
		if addr == own {
			continue
		}
		conn := func(ctx context.Context) drpc.Conn { return dial(ctx, addr) }
		go n.Follow(ctx, conn, &wire.DirectoryWatchRequest{Watcher: watcher, LocalOnly: true})
	}
}

// peersInterval is how often a follower of each replica looks whether there are
// others.
const peersInterval = 500 * time.Millisecond

// FollowEach follows each of the replicas that peers lists, in the background,
// and goes along with changes of the list.
//
// Replicas follow each other's own instances only (LocalOnly), or two would keep up
// for each other what nobody hears. A process that isn't one copies the whole of each:
// upstreams announce to one replica after the other, and when a cut silences all of
// them some tenths of a second apart, what only the first ones vouched for would
// count as gone while the last one still speaks.
func (n *Node) FollowEach(ctx context.Context, peers func() []string, dial Dial, req *wire.DirectoryWatchRequest) {
	go FollowList(ctx, peers, func(ctx context.Context, addr string) {
		n.Follow(ctx, func(ctx context.Context) drpc.Conn { return dial(ctx, addr) }, req)
	})
}

// FollowList keeps one follower for each address of a list, and goes along with its
// changes, until the context is done. follow returns when its own context is.
func FollowList(ctx context.Context, list func() []string, follow func(context.Context, string)) {
	cancels := map[string]context.CancelFunc{}
	tick := time.NewTicker(peersInterval)
	defer tick.Stop()
	for {
		now := list()
		for _, addr := range now {
			if cancels[addr] != nil {
				continue
			}
			var one context.Context
			one, cancels[addr] = context.WithCancel(ctx)
			go follow(one, addr)
		}
		for addr, cancel := range cancels {
			if !slices.Contains(now, addr) {
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

// FollowOne copies the whole directory of one of the replicas until the context
// is done, and goes to another one when that falls silent or has just started.
// What the earlier one vouched for is held meanwhile, for Settings.VouchLease.
func (n *Node) FollowOne(ctx context.Context, targets *Targets, dial Dial, watcher string) {
	req := &wire.DirectoryWatchRequest{Watcher: watcher}
	var last *Source
	for ctx.Err() == nil {
		addr := targets.Pick(n.now(), 1)[0]
		last = n.followOnce(ctx, dial(ctx, addr), req, last, func(u *wire.DirectoryUpdate) bool {
			return u.Settling && targets.Others(addr, n.now())
		})
		targets.Failed(addr, n.now())
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

// followOnce follows one watch until it ends or leave says so. It returns the
// watch that spoke last.
func (n *Node) followOnce(ctx context.Context, conn drpc.Conn, req *wire.DirectoryWatchRequest, last *Source, leave func(*wire.DirectoryUpdate) bool) *Source {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(silentWatch, cancel)
	defer silence.Stop()
	src := &Source{Replaces: last, Whole: !req.LocalOnly}
	stream, err := wire.NewDRPCDirectoryClient(conn).Watch(ctx, n.resume(src, req))
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
		silence.Reset(silenceAfter(u.NextMs))
		if n.apply(src, u) {
			n.onChange()
		}
		if leave != nil && leave(u) {
			return last
		}
	}
}

// resume says in a request what is known already, where that is shorter than a
// copy of the directory. Without it each change of the replica, and each lost
// connection, would bring the whole directory again.
func (n *Node) resume(src *Source, req *wire.DirectoryWatchRequest) *wire.DirectoryWatchRequest {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !src.Whole || n.state.Len() < digestParts {
		return req
	}
	return &wire.DirectoryWatchRequest{Watcher: req.Watcher, Known: n.state.Remember(src)}
}

func (n *Node) apply(src *Source, u *wire.DirectoryUpdate) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	defer n.wakeWatchers()
	return n.state.Apply(n.now(), src, u)
}
