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
	// rewatchDelay is the pause before a watch that has ended is opened again.
	rewatchDelay = 150 * time.Millisecond
	// watchSilenceTimeout is how long a watch may be silent before it is closed, unless the
	// replica has announced a longer interval. It detects partitions in which the connection
	// doesn't break.
	watchSilenceTimeout = 2 * time.Second
	// silentIntervals is how many announced intervals a replica may be silent.
	silentIntervals = 4
	// fetchJitter is the maximum random delay before a watch fetches a new version. The leader
	// reports it first; without jitter all gateways would fetch it from the leader.
	fetchJitter = 25 * time.Millisecond
	// fetchTimeout bounds one fetch of a configuration.
	fetchTimeout = 1500 * time.Millisecond
	// maxConfirmedAge is the age of a replica's confirmation from which a gateway that has just
	// started doesn't rely on its version: a newer one may be in force.
	maxConfirmedAge = 1500 * time.Millisecond
	// freshReplicaTimeout is how long such a gateway waits for a current replica before it uses
	// the version of a stale one.
	freshReplicaTimeout = 3 * time.Second
)

// followRouting watches the configuration version at each replica, and fetches a configuration
// from the first one that has a newer version. One watch isn't enough, as a partitioned replica
// learns of no new version.
func (g *Gateway) followRouting(ctx context.Context) {
	started := g.now()
	directory.FollowList(ctx, g.targets.Addresses, func(ctx context.Context, addr string) {
		g.watchRouting(ctx, addr, started)
	})
}

func (g *Gateway) watchRouting(ctx context.Context, addr string, started time.Time) {
	w := &routingWatch{Gateway: g, addr: addr, started: started}
	for ctx.Err() == nil {
		w.recordEnd(ctx, w.watchOnce(ctx))
		select {
		case <-ctx.Done():
		case <-time.After(rewatchDelay):
		}
	}
}

// routingWatch is the watch of one control replica.
type routingWatch struct {
	*Gateway
	addr    string
	started time.Time
	// connected says that the replica has sent a version since the watch was last lost.
	connected bool
}

// recordVersion records that the replica has sent a version.
func (w *routingWatch) recordVersion(v *wire.RoutingVersion) {
	if !w.connected {
		w.logState("Control replica connected.", "replica", w.addr, "version", v.Version, "confirmed_age_ms", v.ConfirmedAgeMs)
		w.quarantine.ReportAll(w.addr)
		w.backpressure.ReportAll(w.addr)
	}
	w.connected = true
	w.reports.record(w.addr, versionReport{version: v.Version, current: isCurrent(v)})
}

// recordEnd records the end of a watch.
func (w *routingWatch) recordEnd(ctx context.Context, err error) {
	if w.connected && ctx.Err() == nil {
		w.logState("Control replica disconnected.", "replica", w.addr, "err", err)
	}
	w.connected = false
	w.reports.remove(w.addr)
}

func (w *routingWatch) watchOnce(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(watchSilenceTimeout, cancel)
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
		silence.Reset(max(watchSilenceTimeout, silentIntervals*time.Duration(v.NextMs)*time.Millisecond))
		w.recordVersion(v)
		w.quarantine.ApplyReport(w.addr, v.Suspicions)
		w.backpressure.ApplyReport(w.addr, v.Statements)
		w.services.silent.applyReports(w.addr, v.Silences)
		w.applyEvacuations(v, w.addr)
		if err := w.fetchIfNewer(ctx, v); err != nil {
			return err
		}
	}
}

// fetchIfNewer fetches a version if it is wanted and no other watch brings it.
func (w *routingWatch) fetchIfNewer(ctx context.Context, v *wire.RoutingVersion) error {
	if !w.wantsVersion(v, w.started) {
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(rand.N(fetchJitter)):
	}
	done := w.fetches.begin(ctx, v.Version)
	defer done()
	if !w.wantsVersion(v, w.started) {
		return nil
	}
	return w.fetchRouting(ctx, w.addr)
}

// wantsVersion reports whether a replica's configuration is to be fetched. The first one must be
// current, or a gateway that has just started would bring back an outdated configuration, unless no
// replica is.
func (g *Gateway) wantsVersion(v *wire.RoutingVersion, started time.Time) bool {
	if t := g.table.Load(); t != nil {
		return v.Version > t.Config.Version
	}
	if v.Version == 0 {
		return false
	}
	if isCurrent(v) || g.now().Sub(started) > freshReplicaTimeout {
		return true
	}
	latest, ok := g.reports.latestWithoutLeader(g.targets.Addresses())
	return ok && g.targets.DomainsKnown() && v.Version >= latest
}

// isCurrent reports whether a replica's version was confirmed by a leader lately.
func isCurrent(v *wire.RoutingVersion) bool {
	return time.Duration(v.ConfirmedAgeMs)*time.Millisecond < maxConfirmedAge
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
	g.applyRouting(c, addr)
	return nil
}

// applyRouting puts a configuration into force unless its version is in force or older.
func (g *Gateway) applyRouting(c *wire.RoutingConfig, from string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.table.Load()
	if old != nil && old.Config.Version >= c.Version {
		return
	}
	t := routing.NewTable(c)
	g.table.Store(t)
	if g.settings.Admission.Priorities {
		g.services.setRanks(t)
	}
	g.timeouts.retain(c.Routes)
	g.services.setColdLimits(c)
	g.services.setFormTimes(c)
	kernel.Info(g.log, "Routing configuration in force.", "version", c.Version, "from", from, "routes", len(c.Routes), "teams", len(c.Teams), "ranked", t.RankedServices())
	if old == nil {
		g.triggerAnnounce()
		g.warmup.notify()
	}
}
