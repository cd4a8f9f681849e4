package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/routing"
	"github.com/snipereach/snipereach/wire"
)

const (
	// rewatch is the pause before a watch that has ended is opened again.
	rewatch = 150 * time.Millisecond
	// silentRouting is how long a watch may say nothing, as long as its sender doesn't say
	// when it speaks again: behind a silent cut a connection doesn't break.
	silentRouting = 2 * time.Second
	// silentParts is how many of the times that the sender tells it may be silent.
	silentParts = 4
	// fetchSpread is the time within which a watch begins to fetch a new version. The
	// leader tells of it first; were it fetched at once, all entries would get it from
	// there, and the leader has the most to do.
	fetchSpread = 25 * time.Millisecond
	// fetchTimeout bounds one fetch of a configuration.
	fetchTimeout = 1500 * time.Millisecond
	// staleReplica is the age beyond which a replica's word isn't enough for a
	// gateway that has just started: a newer version may be in force.
	staleReplica = 1500 * time.Millisecond
	// firstPatience is how long such a gateway waits for a replica that is current
	// before it serves what an older one knows.
	firstPatience = 3 * time.Second
)

// followRouting watches the version at each replica, and fetches a configuration
// from the first that has a higher one. A replica on the far side of a partition
// knows no news, so one watch is not enough.
func (g *Gateway) followRouting(ctx context.Context) {
	started := g.now()
	directory.FollowList(ctx, g.targets.Addresses, func(ctx context.Context, addr string) {
		g.watchRouting(ctx, addr, started)
	})
}

func (g *Gateway) watchRouting(ctx context.Context, addr string, started time.Time) {
	w := &routingWatch{Gateway: g, addr: addr, started: started}
	for ctx.Err() == nil {
		w.ended(ctx, w.once(ctx))
		select {
		case <-ctx.Done():
		case <-time.After(rewatch):
		}
	}
}

// routingWatch is the watch of one replica.
type routingWatch struct {
	*Gateway
	addr    string
	started time.Time
	// hears says that the replica has spoken since the watch was lost last.
	hears bool
}

// heard notes that the replica speaks.
func (w *routingWatch) heard(v *wire.RoutingVersion) {
	if !w.hears {
		w.believe("Control replica is heard.", "replica", w.addr, "version", v.Version, "confirmed_age_ms", v.ConfirmedAgeMs)
		w.suspects.TellAgain(w.addr)
	}
	w.hears = true
}

// ended notes the end of a watch.
func (w *routingWatch) ended(ctx context.Context, err error) {
	if w.hears && ctx.Err() == nil {
		w.believe("Control replica is lost.", "replica", w.addr, "err", err)
	}
	w.hears = false
}

func (w *routingWatch) once(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(silentRouting, cancel)
	defer silence.Stop()
	client := wire.NewDRPCRoutingClient(w.pool.Conn(ctx, w.addr))
	stream, err := client.Watch(ctx, &wire.WatchRoutingRequest{Watcher: w.settings.ID})
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		v, err := stream.Recv()
		if err != nil {
			return err
		}
		silence.Reset(max(silentRouting, silentParts*time.Duration(v.NextMs)*time.Millisecond))
		w.heard(v)
		w.suspects.Hear(w.addr, v.Suspicions)
		if err := w.fetchWanted(ctx, v); err != nil {
			return err
		}
	}
}

// fetchWanted fetches a version that is wanted, unless another watch brings it.
func (w *routingWatch) fetchWanted(ctx context.Context, v *wire.RoutingVersion) error {
	if !w.wantsVersion(v, w.started) {
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(rand.N(fetchSpread)):
	}
	done := w.fetches.begin(ctx, v.Version)
	defer done()
	if !w.wantsVersion(v, w.started) {
		return nil
	}
	return w.fetchRouting(ctx, w.addr)
}

// wantsVersion says whether a replica's configuration is to be fetched. The first
// one must be current: an entry that has just started would otherwise bring back
// what others have long replaced.
func (g *Gateway) wantsVersion(v *wire.RoutingVersion, started time.Time) bool {
	if t := g.table.Load(); t != nil {
		return v.Version > t.Config.Version
	}
	if v.Version == 0 {
		return false
	}
	current := time.Duration(v.ConfirmedAgeMs)*time.Millisecond < staleReplica
	return current || g.now().Sub(started) > firstPatience
}

func (g *Gateway) fetchRouting(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	packed, err := wire.NewDRPCRoutingClient(g.pool.Conn(ctx, addr)).Fetch(ctx, &wire.GetRoutingRequest{})
	if err != nil {
		return err
	}
	c, err := routing.Unpack(packed)
	if err != nil {
		return err
	}
	g.takeRouting(c, addr)
	return nil
}

// takeRouting brings a configuration into force unless a higher one is.
func (g *Gateway) takeRouting(c *wire.RoutingConfig, from string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.table.Load()
	if old != nil && old.Config.Version >= c.Version {
		return
	}
	g.table.Store(routing.NewTable(c))
	g.times.keep(c.Routes)
	kernel.Info(g.log, "Routing configuration in force.", "version", c.Version, "from", from, "routes", len(c.Routes), "teams", len(c.Teams))
	if old == nil {
		g.wakeAnnouncer()
		g.warmup.learned()
	}
}
