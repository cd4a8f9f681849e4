package directory

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"github.com/snipereach/snipereach/wire"
)

const (
	// replicasPerAnnouncement is how many replicas receive each announcement, so that
	// the loss or isolation of one doesn't let the instance's lease expire.
	replicasPerAnnouncement = 2
	// maxReplicasTried limits how many replicas one announcement is sent to when some
	// don't answer. With announceTimeout it bounds the time until an upstream that is
	// leaving is known as such to under two seconds with three unresponsive replicas.
	maxReplicasTried = 4
	announceTimeout  = 500 * time.Millisecond
)

// Dial returns a connection to an address.
type Dial func(ctx context.Context, address string) drpc.Conn

// Announcer sends the announcements of one process to some of the control replicas.
type Announcer struct {
	dial    Dial
	now     func() time.Time
	targets *Targets
	// requestedInterval is the longest announcement interval, in nanoseconds, that the
	// replicas asked for in their latest replies.
	requestedInterval atomic.Int64
}

// NewAnnouncer returns an announcer that chooses replicas from targets.
func NewAnnouncer(targets *Targets, dial Dial, now func() time.Time) *Announcer {
	return &Announcer{dial: dial, now: now, targets: targets}
}

// Announce sends msg to replicasPerAnnouncement replicas and returns their replies
// by address. A replica that fails is replaced by the next one at once, up to
// maxReplicasTried replicas in all.
func (a *Announcer) Announce(ctx context.Context, msg *wire.Announcement) map[string]*wire.AnnounceReply {
	replies := map[string]*wire.AnnounceReply{}
	tried := []string{}
	for len(tried) < maxReplicasTried && ctx.Err() == nil {
		next := a.pick(tried, replicasPerAnnouncement-len(replies))
		if len(next) == 0 {
			break
		}
		tried = append(tried, next...)
		a.sendAll(ctx, next, msg, replies)
	}
	a.storeRequestedInterval(replies)
	return replies
}

func (a *Announcer) storeRequestedInterval(replies map[string]*wire.AnnounceReply) {
	var longest time.Duration
	for _, r := range replies {
		longest = max(longest, time.Duration(r.IntervalMs)*time.Millisecond)
	}
	if len(replies) > 0 {
		a.requestedInterval.Store(int64(longest))
	}
}

// Interval returns how long to wait between two announcements that only renew the
// lease, given the configured interval and the lease. Changes, above all a shutdown,
// are announced without waiting.
func (a *Announcer) Interval(configured, lease time.Duration) time.Duration {
	return announceInterval(configured, lease, time.Duration(a.requestedInterval.Load()))
}

// pick returns up to n replicas that are not in tried.
func (a *Announcer) pick(tried []string, n int) []string {
	list := a.targets.Pick(a.now(), len(tried)+n)
	list = slices.DeleteFunc(list, func(addr string) bool { return slices.Contains(tried, addr) })
	return list[:min(n, len(list))]
}

func (a *Announcer) sendAll(ctx context.Context, addresses []string, msg *wire.Announcement, replies map[string]*wire.AnnounceReply) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, addr := range addresses {
		wg.Add(1)
		go func() {
			defer wg.Done()
			reply := a.sendOne(ctx, addr, msg)
			if reply == nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies[addr] = reply
		}()
	}
	wg.Wait()
}

func (a *Announcer) sendOne(ctx context.Context, addr string, msg *wire.Announcement) *wire.AnnounceReply {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if a.targets.needsReplicaList() {
		msg = proto.Clone(msg).(*wire.Announcement)
		msg.AskReplicas = true
	}
	reply, err := wire.NewDRPCDirectoryClient(a.dial(ctx, addr)).Announce(ctx, msg)
	if err != nil {
		a.targets.MarkFailed(addr, a.now())
		return nil
	}
	a.targets.MarkAnswered(addr)
	a.targets.UpdateReplicas(reply.Replicas)
	return reply
}
