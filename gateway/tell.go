package gateway

import (
	"context"
	"time"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/quarantine"
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
)

// teller tells one replica what was seen here of requests under which upstreams ended.
type teller struct {
	changed chan struct{}
	// version is the table's up to which the replica was told. The table's lock guards it.
	version uint64
}

func (t *teller) wake() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// tellerOf returns the teller of a replica, and makes it if there is none.
func (s *suspects) tellerOf(addr string) *teller {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tellers[addr]
	if t == nil {
		t = &teller{changed: make(chan struct{}, 1)}
		s.tellers[addr] = t
		t.wake()
	}
	return t
}

// dropTeller ends a replica's teller.
func (s *suspects) dropTeller(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.tellers, addr)
}

// tellAgain has a replica told all: it may have started anew, and remember nothing.
func (s *suspects) tellAgain(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.tellers[addr]; t != nil && s.table.Len() > 0 {
		t.version = 0
		t.wake()
	}
}

// untold is what a replica isn't told yet.
func (s *suspects) untold(t *teller) quarantine.Told {
	s.mu.Lock()
	defer s.mu.Unlock()
	told := s.table.Own(s.now(), t.version)
	if len(told.Suspicions) == 0 {
		t.version = told.Version
	}
	return told
}

// told notes that a replica was told, unless it was to be told all again meanwhile.
func (s *suspects) told(t *teller, before, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.version == before {
		t.version = version
	}
}

func (s *suspects) toldUpTo(t *teller) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return t.version
}

// tellSuspicions tells a replica what is seen here, until the context ends.
func (g *Gateway) tellSuspicions(ctx context.Context, addr string) {
	t := g.suspects.tellerOf(addr)
	defer g.suspects.dropTeller(addr)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.changed:
		}
		for try := 0; try < tellTries && !g.tellOnce(ctx, addr, t); try++ {
			pause(ctx, tellRetry)
		}
	}
}

// tellOnce tells a replica all that it isn't told yet; it says whether that was done.
func (g *Gateway) tellOnce(ctx context.Context, addr string, t *teller) bool {
	pause(ctx, tellGather)
	for ctx.Err() == nil {
		before := g.suspects.toldUpTo(t)
		told := g.suspects.untold(t)
		if len(told.Suspicions) == 0 {
			return true
		}
		if err := g.tell(ctx, addr, told.Suspicions); err != nil {
			g.believe("Replica can't be told of suspicions.", "replica", addr, "suspicions", len(told.Suspicions), "err", err)
			return false
		}
		g.suspects.told(t, before, told.Version)
	}
	return true
}

func (g *Gateway) tell(ctx context.Context, addr string, list []*wire.Suspicion) error {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	req := &wire.TellSuspicionsRequest{Teller: g.settings.ID, Suspicions: list}
	reply, err := wire.NewDRPCQuarantineClient(g.pool.Conn(ctx, addr)).Tell(ctx, req)
	if err != nil {
		return err
	}
	kernel.Debug(g.log, "Replica is told of suspicions.", "replica", addr, "suspicions", len(list), "lifted", len(reply.Lifted))
	var lifted []*wire.Suspicion
	for _, key := range reply.Lifted {
		lifted = append(lifted, &wire.Suspicion{Key: key, Cleared: true})
	}
	g.hearSuspicions(addr, lifted)
	return nil
}

// pause waits for a time, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
