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
	// announceTo is how many replicas an announcement goes to: one may die or be
	// cut off, and nobody takes the instance for gone.
	announceTo = 2
	// announceTries bounds the replicas that one announcement is offered to when
	// the first ones don't answer. With announceTimeout it keeps the news that an
	// upstream leaves under two seconds while three replicas are silent.
	announceTries   = 4
	announceTimeout = 500 * time.Millisecond
)

// Dial returns a connection to an address.
type Dial func(ctx context.Context, address string) drpc.Conn

// Announcer sends one process's announcements to some of the control replicas.
type Announcer struct {
	dial    Dial
	now     func() time.Time
	targets *Targets
	// asked is the interval that the replicas asked for last.
	asked atomic.Int64
}

// NewAnnouncer makes an announcer over the replicas in targets.
func NewAnnouncer(targets *Targets, dial Dial, now func() time.Time) *Announcer {
	return &Announcer{dial: dial, now: now, targets: targets}
}

// Announce sends an announcement and returns the answers by address. Where a
// replica doesn't answer the next one is taken at once.
func (a *Announcer) Announce(ctx context.Context, msg *wire.Announcement) map[string]*wire.AnnounceReply {
	replies := map[string]*wire.AnnounceReply{}
	tried := []string{}
	for len(tried) < announceTries && ctx.Err() == nil {
		next := a.pick(tried, announceTo-len(replies))
		if len(next) == 0 {
			break
		}
		tried = append(tried, next...)
		a.send(ctx, next, msg, replies)
	}
	a.note(replies)
	return replies
}

func (a *Announcer) note(replies map[string]*wire.AnnounceReply) {
	var asked time.Duration
	for _, r := range replies {
		asked = max(asked, time.Duration(r.IntervalMs)*time.Millisecond)
	}
	if len(replies) > 0 {
		a.asked.Store(int64(asked))
	}
}

// Interval is how long to wait between two announcements that bring nothing new,
// for a process whose settings name an interval and a lease. What is new, that it
// leaves above all, is announced at once.
func (a *Announcer) Interval(own, lease time.Duration) time.Duration {
	return pace(own, lease, time.Duration(a.asked.Load()))
}

// pick returns up to n replicas that this announcement was not offered to.
func (a *Announcer) pick(tried []string, n int) []string {
	list := a.targets.Pick(a.now(), len(tried)+n)
	list = slices.DeleteFunc(list, func(addr string) bool { return slices.Contains(tried, addr) })
	return list[:min(n, len(list))]
}

func (a *Announcer) send(ctx context.Context, addresses []string, msg *wire.Announcement, replies map[string]*wire.AnnounceReply) {
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
	if a.targets.wants() {
		msg = proto.Clone(msg).(*wire.Announcement)
		msg.AskReplicas = true
	}
	reply, err := wire.NewDRPCDirectoryClient(a.dial(ctx, addr)).Announce(ctx, msg)
	if err != nil {
		a.targets.Failed(addr, a.now())
		return nil
	}
	a.targets.Answered(addr)
	a.targets.Learn(reply.Replicas)
	return reply
}
