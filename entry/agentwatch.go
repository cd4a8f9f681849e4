package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/table"
	"github.com/snipereach/snipereach/wire"
)

const (
	// reportInterval is the shortest time between two reports of an upstream.
	reportInterval = 500 * time.Millisecond
	// minKeepAlive and maxKeepAlive bound the longest time between two, and
	// keepAlivePerWatch makes it grow with the upstreams watched: keep-alives are
	// 13 a second at most, until it is half a minute. Load comes back on every
	// answer too, and that an upstream lives is known from the directory.
	minKeepAlive      = 5 * time.Second
	maxKeepAlive      = 30 * time.Second
	keepAlivePerWatch = 80 * time.Millisecond
	// silentKeepAlives is after how many keep-alives a watch that says nothing is
	// opened again: a connection that a host or a firewall forgot breaks for nobody.
	silentKeepAlives = 3
	rewatchDelay     = 500 * time.Millisecond
	// askTimeout bounds one ask; the directory itself waits for less.
	askTimeout = 5 * time.Second
)

// watches keeps one report stream open to each upstream's agent.
type watches struct {
	entry *Entry
	mu    sync.Mutex
	ctx   context.Context
	byID  map[string]*openWatch
}

type openWatch struct {
	incarnation uint64
	address     string
	// cache says that the stream brings cache events.
	cache  bool
	cancel context.CancelFunc
	// load is the last report's.
	load atomic.Pointer[wire.Load]
}

func newWatches(e *Entry) *watches {
	return &watches{entry: e, byID: map[string]*openWatch{}}
}

func (w *watches) start(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ctx = ctx
}

// watched says of each upstream that requests are routed to whether its cache
// events are of use.
type watched map[string]bool

// add notes that a pool's requests are routed to an upstream.
func (w watched) add(id string, p *table.Pool) { w[id] = w[id] || !ignoresCache[p.Route] }

// ignoresCache names the routing plug-ins that make nothing of cache events. For
// the others, also one that an embedder brings, they are asked for. An agent asks
// its engine for events once for each stream and interval: at the target that
// would be hundreds of calls a second for nothing.
var ignoresCache = map[string]bool{"least-loaded": true, "round-robin": true}

// update opens a stream to each instance that requests are routed to and closes
// those to others. One that is leaving is followed to its end.
func (w *watches) update(insts []*directory.Instance, routed watched) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ctx == nil || w.ctx.Err() != nil {
		return
	}
	live := map[string]bool{}
	for _, i := range insts {
		old := w.byID[i.Id]
		cache, used := routed[i.Id]
		if !used && (old == nil || i.Phase != wire.Phase_PHASE_LEAVING) {
			continue
		}
		live[i.Id] = true
		if old != nil && old.incarnation == i.Incarnation && old.address == i.Address && (!used || old.cache == cache) {
			continue
		}
		if old != nil {
			old.cancel()
		}
		ctx, cancel := context.WithCancel(w.ctx)
		o := &openWatch{incarnation: i.Incarnation, address: i.Address, cache: cache, cancel: cancel}
		w.byID[i.Id] = o
		go w.follow(ctx, o)
	}
	for id, old := range w.byID {
		if !live[id] {
			old.cancel()
			delete(w.byID, id)
		}
	}
}

// load returns the last load that an instance reported, or announced.
func (w *watches) load(i *directory.Instance) *wire.Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o := w.byID[i.Id]; o != nil && o.incarnation == i.Incarnation && o.load.Load() != nil {
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
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	keepAlive := w.keepAlive()
	silence := time.AfterFunc(silentKeepAlives*keepAlive, cancel)
	defer silence.Stop()
	stream, err := w.open(ctx, o, keepAlive, o.cache)
	if err != nil {
		return
	}
	defer stream.Close()
	for {
		r, err := stream.Recv()
		if err != nil {
			return
		}
		silence.Reset(silentKeepAlives * keepAlive)
		w.take(o, r)
	}
}

// keepAlive is the longest time between two reports that a stream opened now asks
// for.
func (w *watches) keepAlive() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return min(max(time.Duration(len(w.byID))*keepAlivePerWatch, minKeepAlive), maxKeepAlive)
}

func (w *watches) open(ctx context.Context, o *openWatch, keepAlive time.Duration, cache bool) (wire.DRPCAgent_WatchClient, error) {
	return wire.NewDRPCAgentClient(w.entry.pool.Conn(ctx, o.address)).Watch(ctx, &wire.WatchRequest{
		Entry:         w.entry.settings.ID,
		IntervalMs:    uint32(reportInterval.Milliseconds()),
		KeepAliveMs:   uint32(keepAlive.Milliseconds()),
		NoCacheEvents: !cache,
	})
}

func (w *watches) take(o *openWatch, r *wire.Report) {
	w.entry.node.Heard(r.Upstream, r.Incarnation)
	o.load.Store(r.Load)
	w.entry.fwd.Report(r)
}

// ask gets a report from an upstream for which no control replica speaks any
// more: a new stream begins with one. The stream that stands may say nothing for
// its keep-alive, and behind a cut for longer.
func (w *watches) ask(i *directory.Instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := w.byID[i.Id]
	if o == nil || o.incarnation != i.Incarnation || w.ctx == nil {
		return
	}
	go w.askOnce(w.ctx, o)
}

func (w *watches) askOnce(ctx context.Context, o *openWatch) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	stream, err := w.open(ctx, o, maxKeepAlive, false)
	if err != nil {
		return
	}
	defer stream.Close()
	if r, err := stream.Recv(); err == nil {
		w.take(o, r)
	}
}
