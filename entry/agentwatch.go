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
	// minReportInterval is the shortest time between two reports of an upstream.
	minReportInterval = 500 * time.Millisecond
	// minKeepAlive and maxKeepAlive bound the longest time between two reports, and
	// keepAlivePerWatch makes it grow with the number of watches. This limits
	// keep-alives to about 13 a second until the interval reaches maxKeepAlive. Longer
	// intervals are safe: load is also part of every answer, and liveness is known
	// from the directory.
	minKeepAlive      = 5 * time.Second
	maxKeepAlive      = 30 * time.Second
	keepAlivePerWatch = 80 * time.Millisecond
	// maxMissedKeepAlives is the number of missed keep-alives after which a watch is
	// opened again: a host or firewall may drop a connection's state without closing
	// the connection.
	maxMissedKeepAlives = 3
	watchRetryDelay     = 500 * time.Millisecond
	// reportRequestTimeout bounds one request for a report; the directory waits less.
	reportRequestTimeout = 5 * time.Second
)

// agentWatches keeps one report stream open to the agent of each upstream that requests
// are routed to.
type agentWatches struct {
	entry *Entry
	mu    sync.Mutex
	ctx   context.Context
	byID  map[string]*agentWatch
}

type agentWatch struct {
	incarnation uint64
	address     string
	// cacheEvents is true if the stream includes cache events.
	cacheEvents bool
	cancel      context.CancelFunc
	// load is the load in the last report.
	load atomic.Pointer[wire.Load]
}

func newAgentWatches(e *Entry) *agentWatches {
	return &agentWatches{entry: e, byID: map[string]*agentWatch{}}
}

func (w *agentWatches) start(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ctx = ctx
}

// routedUpstreams holds the IDs of upstreams that requests are routed to. The value is
// true if a routing plug-in uses the upstream's cache events.
type routedUpstreams map[string]bool

// add records that a pool's requests are routed to an upstream.
func (w routedUpstreams) add(id string, p *table.Pool) { w[id] = w[id] || !ignoresCacheEvents[p.Route] }

// ignoresCacheEvents holds the routing plug-ins that don't use cache events. For all other
// plug-ins, those of embedding programs included, cache events are requested. An agent
// polls its engine for them once per stream and interval, so streams that don't need them
// must not request them.
var ignoresCacheEvents = map[string]bool{"least-loaded": true, "round-robin": true}

// update opens a stream to each instance that requests are routed to and closes the
// others. An existing stream to a draining instance stays open.
func (w *agentWatches) update(instances []*directory.Instance, routed routedUpstreams) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ctx == nil || w.ctx.Err() != nil {
		return
	}
	wanted := map[string]bool{}
	for _, i := range instances {
		old := w.byID[i.Id]
		cacheEvents, used := routed[i.Id]
		if !used && (old == nil || i.Phase != wire.Phase_PHASE_LEAVING) {
			continue
		}
		wanted[i.Id] = true
		if old != nil && old.incarnation == i.Incarnation && old.address == i.Address && (!used || old.cacheEvents == cacheEvents) {
			continue
		}
		if old != nil {
			old.cancel()
		}
		ctx, cancel := context.WithCancel(w.ctx)
		o := &agentWatch{incarnation: i.Incarnation, address: i.Address, cacheEvents: cacheEvents, cancel: cancel}
		w.byID[i.Id] = o
		go w.follow(ctx, o)
	}
	for id, old := range w.byID {
		if !wanted[id] {
			old.cancel()
			delete(w.byID, id)
		}
	}
}

// load returns the load that an instance last reported, else the load it announced.
func (w *agentWatches) load(i *directory.Instance) *wire.Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o := w.byID[i.Id]; o != nil && o.incarnation == i.Incarnation && o.load.Load() != nil {
		return o.load.Load()
	}
	return i.Load
}

func (w *agentWatches) follow(ctx context.Context, o *agentWatch) {
	for ctx.Err() == nil {
		w.watchOnce(ctx, o)
		select {
		case <-ctx.Done():
		case <-time.After(watchRetryDelay):
		}
	}
}

func (w *agentWatches) watchOnce(ctx context.Context, o *agentWatch) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	keepAlive := w.keepAlive()
	silenceTimer := time.AfterFunc(maxMissedKeepAlives*keepAlive, cancel)
	defer silenceTimer.Stop()
	stream, err := w.openStream(ctx, o, keepAlive, o.cacheEvents)
	if err != nil {
		return
	}
	defer stream.Close()
	for {
		r, err := stream.Recv()
		if err != nil {
			return
		}
		silenceTimer.Reset(maxMissedKeepAlives * keepAlive)
		w.handleReport(o, r)
	}
}

// keepAlive returns the longest time between two reports to request for a new stream.
func (w *agentWatches) keepAlive() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return min(max(time.Duration(len(w.byID))*keepAlivePerWatch, minKeepAlive), maxKeepAlive)
}

func (w *agentWatches) openStream(ctx context.Context, o *agentWatch, keepAlive time.Duration, cacheEvents bool) (wire.DRPCAgent_WatchClient, error) {
	return wire.NewDRPCAgentClient(w.entry.pool.Conn(ctx, o.address)).Watch(ctx, &wire.WatchRequest{
		Entry:         w.entry.settings.ID,
		IntervalMs:    uint32(minReportInterval.Milliseconds()),
		KeepAliveMs:   uint32(keepAlive.Milliseconds()),
		NoCacheEvents: !cacheEvents,
	})
}

func (w *agentWatches) handleReport(o *agentWatch, r *wire.Report) {
	w.entry.node.RenewDirect(r.Upstream, r.Incarnation)
	o.load.Store(r.Load)
	w.entry.fwd.Report(r)
}

// requestReport requests a report from an upstream whose lease is no longer renewed by a
// control replica. It opens a new stream, which begins with a report, because the existing
// stream may be silent for its keep-alive interval, and for longer in a partition.
func (w *agentWatches) requestReport(i *directory.Instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := w.byID[i.Id]
	if o == nil || o.incarnation != i.Incarnation || w.ctx == nil {
		return
	}
	go w.readFirstReport(w.ctx, o)
}

func (w *agentWatches) readFirstReport(ctx context.Context, o *agentWatch) {
	ctx, cancel := context.WithTimeout(ctx, reportRequestTimeout)
	defer cancel()
	stream, err := w.openStream(ctx, o, maxKeepAlive, false)
	if err != nil {
		return
	}
	defer stream.Close()
	if r, err := stream.Recv(); err == nil {
		w.handleReport(o, r)
	}
}
