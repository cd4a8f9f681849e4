package teamshare

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

const (
	// reportTimeout bounds a call to a replica, so that attemptsPerReport replicas can be asked before the
	// next report is due. No further one is asked when so much time has passed.
	reportTimeout = 450 * time.Millisecond
	// attemptsPerReport is how many replicas are asked for one report, if they don't answer in time. Those
	// that fail at once, as they are of an earlier release or not running, leave time for more: without
	// these, replicas late in the order would never be asked.
	attemptsPerReport = 2
	// maxServices bounds the services that a gateway counts. Configurations have tens of them.
	maxServices = 1_000
	// maxLinesPerSecond limits a node's log lines.
	maxLinesPerSecond = 10
	// maxTeamsPerLine bounds the teams that a log line names.
	maxTeamsPerLine = 10
)

// Node counts what the callers of a gateway ask of services, and knows which requests are beyond the
// shares of their teams. It is safe for concurrent use.
//
// A nil Node counts nothing, and has no team over its share.
type Node struct {
	id       string
	lines    *kernel.LimitedLogger
	now      func() time.Time
	metrics  *kernel.Metrics
	dial     directory.Dial
	replicas func() []string
	gateways func() int
	// wake ends the wait for the next report.
	wake chan struct{}

	// services holds the services by name. The map is replaced when one is added or dropped, under mu.
	services atomic.Pointer[map[string]*service]
	mu       sync.Mutex
}

// service is one service at the gateway.
type service struct {
	name string
	// shares are those in force; nil while the service is not contended.
	shares atomic.Pointer[Shares]
	// reporting says that a report is on its way.
	reporting atomic.Bool

	mu      sync.Mutex
	tracker tracker
}

// Options are what a Node needs of its gateway.
type Options struct {
	// ID is the gateway's ID.
	ID      string
	Log     log.Logger
	Now     func() time.Time
	Metrics *kernel.Metrics
	// Dial opens connections to control replicas, Replicas lists their addresses.
	Dial     directory.Dial
	Replicas func() []string
	// Gateways returns the last known number of gateways.
	Gateways func() int
}

// NewNode returns the node of a gateway.
func NewNode(o Options) *Node {
	n := &Node{
		id: o.ID, lines: kernel.NewLimitedLogger(o.Log, maxLinesPerSecond, o.Now), now: o.Now, metrics: o.Metrics,
		dial: o.Dial, replicas: o.Replicas, gateways: o.Gateways, wake: make(chan struct{}, 1),
	}
	n.services.Store(&map[string]*service{})
	return n
}

// Arrived counts a request that has arrived.
func (n *Node) Arrived(service, team string, priority uint32) {
	n.count(service, func(t *tracker, now time.Time) { t.counter.Arrived(now, team, priority) })
}

// Admitted counts a request that was admitted.
func (n *Node) Admitted(service, team string, priority uint32) {
	n.count(service, func(t *tracker, now time.Time) { t.counter.Admitted(now, team, priority) })
}

// Refused counts a request that was refused for a cause.
func (n *Node) Refused(service, team string, priority uint32, cause string) {
	began := false
	n.count(service, func(t *tracker, now time.Time) {
		t.counter.Refused(now, team, priority, cause)
		began = t.markContended(now)
	})
	n.wakeIf(began)
}

// Queued records that a request is queued.
func (n *Node) Queued(service string) {
	began := false
	n.count(service, func(t *tracker, now time.Time) { began = t.markContended(now) })
	n.wakeIf(began)
}

// Over reports whether a request of a team is beyond the team's share of a service. While a team is over
// its share, this holds for so many of its requests that it is served its share in the end.
func (n *Node) Over(service, team string) bool {
	if n == nil {
		return false
	}
	s := (*n.services.Load())[service]
	if s == nil {
		return false
	}
	shares := s.shares.Load()
	return shares != nil && shares.Beyond(team, rand.Float64())
}

// count calls f with the tracker of a service.
func (n *Node) count(name string, f func(t *tracker, now time.Time)) {
	if n == nil {
		return
	}
	s := (*n.services.Load())[name]
	if s == nil {
		if s = n.addService(name); s == nil {
			return
		}
	}
	now := n.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.lastAt = now
	f(&s.tracker, now)
}

// addService returns the service of a name, or nil if there are too many.
func (n *Node) addService(name string) *service {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := *n.services.Load()
	if s := known[name]; s != nil || len(known) >= maxServices {
		return s
	}
	next := maps.Clone(known)
	next[name] = &service{name: name}
	n.services.Store(&next)
	return next[name]
}

// forgetIdle drops services without requests.
func (n *Node) forgetIdle(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	next := maps.Clone(*n.services.Load())
	maps.DeleteFunc(next, func(_ string, s *service) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return now.Sub(s.tracker.lastAt) >= idleAfter
	})
	if len(next) < len(*n.services.Load()) {
		n.services.Store(&next)
	}
}

func (n *Node) wakeIf(began bool) {
	if !began {
		return
	}
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Run reports contended services until ctx is done. It waits for the reports on their way then.
func (n *Node) Run(ctx context.Context) {
	if n == nil {
		return
	}
	var reports sync.WaitGroup
	defer reports.Wait()
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			n.forgetIdle(n.now())
		case <-n.wake:
		}
		n.reportDue(ctx, &reports)
	}
}

// reportDue updates the shares of all services, and begins the reports that are due.
func (n *Node) reportDue(ctx context.Context, reports *sync.WaitGroup) {
	for _, s := range *n.services.Load() {
		if !n.updateShares(s) || !s.reporting.CompareAndSwap(false, true) {
			continue
		}
		reports.Go(func() {
			defer s.reporting.Store(false)
			n.report(ctx, s)
		})
	}
}

// updateShares puts the shares of a service in force that follow of what is known now, and reports whether
// a report is due.
func (n *Node) updateShares(s *service) (due bool) {
	now, gateways := n.now(), n.gateways()
	s.mu.Lock()
	before := s.tracker.source
	shares := s.tracker.shares(now, gateways)
	source := s.tracker.source
	due = s.tracker.reportDue(now)
	s.mu.Unlock()
	n.logChange(s.name, s.shares.Swap(shares), shares, before, source)
	return due
}

// logChange logs which teams are over their share if they have changed, or if sums over all gateways are no
// longer known.
func (n *Node) logChange(service string, old, shares *Shares, before, source string) {
	lost := before == sourceTotals && source == sourceOwn
	if lost {
		n.metrics.Count("gateway.team_shares.own_counts")
	}
	teams := shares.overTeams()
	if !lost && slices.Equal(teams, old.overTeams()) {
		return
	}
	kv := []any{"service", service, "over", len(teams), "source", source}
	if len(teams) > 0 {
		kv = append(kv, "teams", strings.Join(teams[:min(len(teams), maxTeamsPerLine)], ","), "level", int64(shares.level), "span_ms", Span.Milliseconds())
	}
	n.lines.Info("Teams over their share changed.", kv...)
}

// overTeams returns the teams over their shares; none without shares.
func (s *Shares) overTeams() []string {
	if s == nil {
		return nil
	}
	return s.Teams()
}

// report reports a service to the first replica that answers, and uses the sums that it returns.
func (n *Node) report(ctx context.Context, s *service) {
	known := n.replicas()
	now := n.now()
	s.mu.Lock()
	order := s.tracker.replicas.order(now, s.name, known)
	req := &wire.DemandReport{Gateway: n.id, Service: s.name, SpanMs: uint32(Span.Milliseconds()), Teams: ToWire(s.tracker.counter.Recent(now))}
	s.tracker.reportedAt = now
	waiting := s.tracker.replicas.backingOff(now, known)
	s.mu.Unlock()
	// Replicas that have failed lately are the last in the order.
	for i, replica := range order[:max(len(order)-waiting, min(attemptsPerReport, len(order)))] {
		if i >= attemptsPerReport && n.now().Sub(now) >= reportTimeout {
			return
		}
		totals, err := n.call(ctx, replica, req)
		if ctx.Err() != nil {
			return
		}
		s.mu.Lock()
		s.tracker.replicas.record(n.now(), replica, err == nil, known)
		if err == nil {
			s.tracker.setTotals(n.now(), time.Duration(totals.AgeMs)*time.Millisecond, FromWire(totals.Teams))
		}
		s.mu.Unlock()
		if err == nil {
			n.metrics.Count("gateway.team_shares.reports")
			n.updateShares(s)
			return
		}
		n.metrics.Count("gateway.team_shares.reports_failed")
		n.lines.Info("Reporting demand to a replica failed.", "replica", replica, "service", s.name, "err", err)
	}
}

func (n *Node) call(ctx context.Context, replica string, req *wire.DemandReport) (*wire.DemandTotals, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return wire.NewDRPCDemandClient(n.dial(ctx, replica)).Report(ctx, req)
}

// dumpView is what a dump shows of a service.
type dumpView struct {
	Service   string   `json:"service"`
	Contended bool     `json:"contended"`
	Source    string   `json:"source"`
	Over      []string `json:"over"`
	Level     float64  `json:"level,omitempty"`
	Own       []Demand `json:"own"`
	Totals    []Demand `json:"totals"`
	AgeMs     int64    `json:"totals_age_ms"`
}

// Dump returns what is known, for operators.
func (n *Node) Dump() any {
	list := []dumpView{}
	if n == nil {
		return list
	}
	known, now := *n.services.Load(), n.now()
	for _, name := range slices.Sorted(maps.Keys(known)) {
		list = append(list, known[name].dump(now))
	}
	return list
}

func (s *service) dump(now time.Time) dumpView {
	shares := s.shares.Load()
	v := dumpView{Service: s.name, Over: shares.overTeams()}
	if len(v.Over) > 0 {
		v.Level = shares.level
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	v.Contended, v.Source = s.tracker.contended(now), s.tracker.source
	v.Own, v.Totals = s.tracker.counter.Recent(now), s.tracker.totals
	if v.Totals != nil {
		v.AgeMs = now.Sub(s.tracker.totalsAt).Milliseconds()
	}
	return v
}
