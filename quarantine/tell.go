package quarantine

import (
	"context"
	"time"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

const (
	// tellGather is how long what is to be told gathers: all that ran at an upstream which
	// ended is known within milliseconds.
	tellGather = 5 * time.Millisecond
	// tellTimeout bounds one call, tellRetry is the pause after one that failed, and tellTries
	// how often it is made. After that the replica is told once it is heard again.
	tellTimeout = time.Second
	tellRetry   = 150 * time.Millisecond
	tellTries   = 4
	// forgetInterval is how often what is held no longer is dropped.
	forgetInterval = 10 * time.Second
)

// teller tells one replica what was seen here. The node's lock guards it.
type teller struct {
	changed chan struct{}
	// version is the table's up to which the replica was told.
	version uint64
}

func (t *teller) wake() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// Run tells the replicas of a list, which may change, what is seen here, until the context ends.
// All are told: each knows it for itself then, and the loss of some, or of their leader, keeps word
// from no other entry.
func (n *Node) Run(ctx context.Context, replicas func() []string) {
	go n.forgetNowAndThen(ctx)
	directory.FollowList(ctx, replicas, n.tellReplica)
}

// TellAgain has a replica told all: it may have started anew, and remember nothing.
func (n *Node) TellAgain(replica string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if t := n.tellers[replica]; t != nil && n.table.Len() > 0 {
		t.version = 0
		t.wake()
	}
}

func (n *Node) tellReplica(ctx context.Context, addr string) {
	t := &teller{changed: make(chan struct{}, 1)}
	t.wake()
	n.mu.Lock()
	n.tellers[addr] = t
	n.mu.Unlock()
	defer n.dropTeller(addr, t)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.changed:
		}
		pause(ctx, tellGather)
		for try := 0; try < tellTries && !n.tellAll(ctx, addr, t); try++ {
			pause(ctx, tellRetry)
		}
	}
}

func (n *Node) dropTeller(addr string, t *teller) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.tellers[addr] == t {
		delete(n.tellers, addr)
	}
}

// tellAll tells a replica all that it isn't told yet; it says whether that was done.
func (n *Node) tellAll(ctx context.Context, addr string, t *teller) bool {
	for ctx.Err() == nil {
		told, from := n.untold(t)
		if len(told.Suspicions) == 0 {
			return true
		}
		if err := n.tellOnce(ctx, addr, told.Suspicions); err != nil {
			n.tell("Replica can't be told of suspicions.", "replica", addr, "suspicions", len(told.Suspicions), "err", err)
			return false
		}
		n.told(t, from, told.Version)
	}
	return true
}

// untold is what a replica isn't told yet, and the version from which on.
func (n *Node) untold(t *teller) (told Told, from uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	told, from = n.table.Own(n.now(), t.version), t.version
	if len(told.Suspicions) == 0 {
		t.version = told.Version
	}
	return told, from
}

// told notes that a replica was told, unless it is to be told all again since.
func (n *Node) told(t *teller, from, version uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if t.version == from {
		t.version = version
	}
}

func (n *Node) tellOnce(ctx context.Context, addr string, list []*wire.Suspicion) error {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	req := &wire.TellSuspicionsRequest{Teller: n.id, Suspicions: list}
	reply, err := wire.NewDRPCQuarantineClient(n.dial(ctx, addr)).Tell(ctx, req)
	if err != nil {
		return err
	}
	kernel.Debug(n.log, "Replica is told of suspicions.", "replica", addr, "suspicions", len(list), "lifted", len(reply.Lifted))
	var lifted []*wire.Suspicion
	for _, key := range reply.Lifted {
		lifted = append(lifted, &wire.Suspicion{Key: key, Cleared: true})
	}
	n.Hear(addr, lifted)
	return nil
}

// pause waits for a time, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
