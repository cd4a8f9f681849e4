package gateway

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/outlier"
	"github.com/snipereach/snipereach/route"
	"github.com/snipereach/snipereach/wire"
)

const (
	// silentProbeInterval is the least time between two requests that a gateway sends to avoided
	// upstreams to find out whether they respond.
	silentProbeInterval = time.Second
	// silentProbesPerS is about how many such requests all gateways together send to an avoided
	// upstream in a second: each is late if the upstream is still silent, but without reports it isn't
	// avoided any longer.
	silentProbesPerS = 2
	// silentCheckInterval is how often it is checked which upstreams are silent no more.
	silentCheckInterval = time.Second
)

// silentUpstreams is what a gateway knows of upstreams that gateways found silent. The zero value knows
// none. It is safe for concurrent use.
type silentUpstreams struct {
	id        string
	now       func() time.Time
	metrics   *gatewayMetrics
	log       func(msg string, kv ...any)
	dial      directory.Dial
	reporters *directory.Reporters
	// known is the number of upstreams in the table. While it is 0, which is the usual case, a request
	// costs two atomic loads.
	known atomic.Int64

	mu    sync.Mutex
	table outlier.Table
	// silent are those at the last check, by ID.
	silent map[string]outlier.Silent
	// nextProbe is when a request may be sent to an avoided upstream; zero if that isn't decided since
	// the first of them became silent.
	nextProbe time.Time
}

// newSilentUpstreams returns what a gateway that is starting knows.
func newSilentUpstreams(g *Gateway) *silentUpstreams {
	s := &silentUpstreams{id: g.settings.ID, now: g.now, metrics: g.metrics, log: g.logState, dial: g.pool.Conn, silent: map[string]outlier.Silent{}}
	s.reporters = directory.NewReporters(s.report)
	return s
}

// run reports silent upstreams to the control replicas until ctx is done.
func (s *silentUpstreams) run(ctx context.Context, replicas func() []string) {
	go s.reporters.Run(ctx, replicas)
	tick := time.NewTicker(silentCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if s.known.Load() > 0 {
			s.mu.Lock()
			s.table.Expire(s.now())
			s.check()
			s.mu.Unlock()
		}
	}
}

// report implements directory.ReportFunc. It tells what this gateway has found itself.
func (s *silentUpstreams) report(ctx context.Context, replica string, after uint64) (upTo uint64, sent bool, err error) {
	s.mu.Lock()
	list, upTo := s.table.Since(after, outlier.MaxReports)
	s.mu.Unlock()
	var own []outlier.Report
	for _, r := range list {
		if r.Reporter == s.id {
			own = append(own, r)
		}
	}
	if len(own) == 0 {
		return upTo, len(list) > 0, nil
	}
	ctx, cancel := context.WithTimeout(ctx, directory.ReportTimeout)
	defer cancel()
	req := &wire.ReportSilenceRequest{Reports: outlier.ToWire(s.now(), own)}
	if _, err := wire.NewDRPCOutliersClient(s.dial(ctx, replica)).Report(ctx, req); err != nil {
		s.log("Reporting silent upstreams to a replica failed.", "replica", replica, "upstreams", len(own), "err", err)
		return after, false, err
	}
	return upTo, true, nil
}

// observe records that an upstream was silent to this gateway.
func (s *silentUpstreams) observe(up route.Upstream) {
	s.metrics.Count("gateway.silent.found")
	if s.record(outlier.Report{Upstream: up.ID, Incarnation: up.Incarnation, Reporter: s.id, At: s.now()}) {
		s.reporters.Notify()
	}
}

// applyReports records reports of other gateways that a replica passes on. Invalid ones are logged and
// skipped.
func (s *silentUpstreams) applyReports(replica string, list []*wire.SilenceReport) {
	for _, m := range list {
		if err := outlier.Check(m); err != nil {
			s.log("Invalid report of a silent upstream skipped.", "replica", replica, "err", err)
			continue
		}
		if m.Reporter != s.id {
			s.record(outlier.FromWire(s.now(), m))
		}
	}
}

// record takes a report in and reports whether it adds anything.
func (s *silentUpstreams) record(r outlier.Report) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if changed = s.table.Record(s.now(), r); changed {
		s.check()
	}
	return changed
}

// responded records that an upstream has responded to this gateway.
func (s *silentUpstreams) responded(upstream string) {
	if s.known.Load() == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Responded(s.now(), upstream)
	if _, silent := s.silent[upstream]; silent {
		s.check()
	}
}

// check updates and logs which upstreams are silent. The caller holds the lock.
func (s *silentUpstreams) check() {
	now := s.now()
	s.known.Store(int64(s.table.Len()))
	before := s.silent
	if len(before) == 0 {
		s.nextProbe = time.Time{}
	}
	s.silent = map[string]outlier.Silent{}
	for _, one := range s.table.Silent(now) {
		s.silent[one.Upstream] = one
		if old, known := before[one.Upstream]; !known || old.Incarnation != one.Incarnation {
			s.metrics.Count("gateway.silent.began")
			s.log("Upstream is silent.", "upstream", one.Upstream, "incarnation", one.Incarnation, "reporters", strings.Join(one.Reporters, ","), "age_ms", now.Sub(one.Latest).Milliseconds())
		}
	}
	for id, old := range before {
		if _, still := s.silent[id]; !still {
			s.log("Upstream is no longer silent.", "upstream", id, "incarnation", old.Incarnation, "last_reported_ms", now.Sub(old.Latest).Milliseconds())
		}
	}
}

// avoided returns which upstreams of a group are avoided now.
func (s *silentUpstreams) avoided(group map[string]*directory.Instance) map[string]bool {
	if s.known.Load() == 0 {
		return nil
	}
	incarnations := make(map[string]uint64, len(group))
	for id, i := range group {
		incarnations[id] = i.Incarnation
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Avoided(s.now(), incarnations)
}

// probeDue reports whether a request may be sent to one of a number of avoided upstreams to find out
// whether it responds. The first probe comes at a random time within the interval: all gateways learn
// at the same moment that an upstream is silent.
func (s *silentUpstreams) probeDue(avoided, gateways int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.nextProbe.IsZero() {
		s.nextProbe = now.Add(rand.N(probeIntervalOf(avoided, gateways)))
	}
	return !now.Before(s.nextProbe)
}

// recordProbe records that a request was sent to an avoided upstream.
func (s *silentUpstreams) recordProbe(avoided, gateways int) {
	s.metrics.Count("gateway.silent.probes")
	s.mu.Lock()
	defer s.mu.Unlock()
	interval := probeIntervalOf(avoided, gateways)
	s.nextProbe = s.now().Add(max(interval/2+rand.N(interval), silentProbeInterval))
}

// probeIntervalOf returns the mean time between two probes of one gateway.
func probeIntervalOf(avoided, gateways int) time.Duration {
	interval := time.Duration(float64(gateways) / float64(silentProbesPerS*max(avoided, 1)) * float64(time.Second))
	return max(interval, silentProbeInterval)
}

// countAvoided counts a request for which avoided upstreams were left out.
func (s *silentUpstreams) countAvoided() { s.metrics.Count("gateway.silent.avoided") }
