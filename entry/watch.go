package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/wire"
)

const (
	reportInterval = 500 * time.Millisecond
	rewatchDelay   = 500 * time.Millisecond
)

// watches keeps one report stream open to each upstream's agent.
type watches struct {
	entry *Entry
	mu    sync.Mutex
	ctx   context.Context
	open  map[string]*openWatch
}

type openWatch struct {
	incarnation uint64
	address     string
	cancel      context.CancelFunc
	// load is the last report's.
	load atomic.Pointer[wire.Load]
}

func newWatches(e *Entry) *watches {
	return &watches{entry: e, open: map[string]*openWatch{}}
}

func (w *watches) start(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ctx = ctx
}

// update opens a stream to each instance that requests are routed to and closes
// those to others. One that is leaving is followed to its end.
func (w *watches) update(insts []*directory.Instance, routed map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ctx == nil || w.ctx.Err() != nil {
		return
	}
	live := map[string]bool{}
	for _, i := range insts {
		old := w.open[i.Id]
		if !routed[i.Id] && (old == nil || i.Phase != wire.Phase_PHASE_LEAVING) {
			continue
		}
		live[i.Id] = true
		if old != nil && old.incarnation == i.Incarnation && old.address == i.Address {
			continue
		}
		if old != nil {
			old.cancel()
		}
		ctx, cancel := context.WithCancel(w.ctx)
		o := &openWatch{incarnation: i.Incarnation, address: i.Address, cancel: cancel}
		w.open[i.Id] = o
		go w.follow(ctx, o)
	}
	for id, old := range w.open {
		if !live[id] {
			old.cancel()
			delete(w.open, id)
		}
	}
}

// load returns the last load that an instance reported, or announced.
func (w *watches) load(i *directory.Instance) *wire.Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o := w.open[i.Id]; o != nil && o.incarnation == i.Incarnation && o.load.Load() != nil {
		return o.load.Load()
	}
	return i.Load
}

func (w *watches) follow(ctx context.Context, o *openWatch) {
	for ctx.Err() == nil {
		w.once(ctx, o)
		select {
		case <-ctx.Done():
		case <-time.After(rewatchDelay):
		}
	}
}

func (w *watches) once(ctx context.Context, o *openWatch) {
	e := w.entry
	stream, err := wire.NewDRPCAgentClient(e.pool.Conn(ctx, o.address)).Watch(ctx, &wire.WatchRequest{
		Entry: e.settings.ID, IntervalMs: uint32(reportInterval.Milliseconds()),
	})
	if err != nil {
		return
	}
	defer stream.Close()
	for {
		r, err := stream.Recv()
		if err != nil {
			return
		}
		e.node.Heard(r.Upstream, r.Incarnation)
		o.load.Store(r.Load)
		e.fwd.Report(r)
	}
}
