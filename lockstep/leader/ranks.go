package leader

import (
	"context"
	"slices"
	"time"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/lockstep"
	"github.com/snipereach/snipereach/sidecar"
	"github.com/snipereach/snipereach/wire"
)

const (
	// readTimeout and orderTimeout bound one call to a rank, and maxCopyWait the part of
	// readTimeout for which a reading waits until a copy is done.
	readTimeout  = 400 * time.Millisecond
	maxCopyWait  = readTimeout / 2
	orderTimeout = 250 * time.Millisecond
	// directOrderTimeout bounds the wait for a rank's answer to an order that is sent
	// without a sidecar; the rest of orderTimeout is for reading its state.
	directOrderTimeout = 150 * time.Millisecond
	// switchReadPeriod is the interval between two readings of a rank that a switch waits
	// for, as the group may be held meanwhile.
	switchReadPeriod = 60 * time.Millisecond
	// sidecarRetryDelay is how long a sidecar that did not answer isn't called; its rank is
	// called directly meanwhile.
	sidecarRetryDelay = 2 * time.Second
	// sidecarRestartDelay is the same for a sidecar that refused a connection. Its host is up, so
	// a call costs no timeout, and a restarted sidecar is back within a second.
	sidecarRestartDelay = 250 * time.Millisecond
)

// rankLink holds the address of one rank and what was last read from it.
type rankLink struct {
	instance string
	// incarnation distinguishes runs under one instance ID; it is defaultIncarnation if the
	// rank doesn't report one.
	incarnation  uint64
	address      string
	readInFlight bool
	lastReadAt   time.Time
	// lastCountsAt is when its counters were last read.
	lastCountsAt time.Time
	// sidecarRetryAt is the time until which its sidecar isn't called.
	sidecarRetryAt time.Time
	// heldExperts are the experts that the rank holds under map version heldVersion.
	heldExperts []*wire.ExpertList
	heldVersion uint64
	// slowdown is the recent duration of the rank's work relative to the usual one; above 1
	// it is slower.
	slowdown float64
	// running and waiting count its requests at stateAt, which is zero if never read.
	running, waiting uint32
	stateAt          time.Time
}

// isFromThisRun reports whether a report comes from the registered run of the rank, or
// doesn't say. A rank that restarted under the same ID has lost the effects of earlier
// orders; until the directory announces the restart, its answers must not be taken for
// those of the earlier run.
func (l *rankLink) isFromThisRun(report *wire.RankReport) bool {
	return report.GetIncarnation() == 0 || report.GetIncarnation() == l.incarnation
}

// readRanks reads the ranks that are due. To bound the leader's CPU use, only those that a
// switch waits for are read more often, and one that copies answers when it is done.
func (g *group) readRanks(ctx context.Context, now time.Time) {
	due := map[readBatchKey][]int{}
	for i, link := range g.links {
		key, ok := g.dueRead(now, i, link)
		if !ok {
			continue
		}
		link.readInFlight, link.lastReadAt = true, now
		if key.counts {
			link.lastCountsAt = now
		}
		due[key] = append(due[key], i)
	}
	for key, ranks := range due {
		if via, ok := g.relayFor(now, key.part, ranks); ok {
			go g.readThroughRelay(ctx, via, ranks, g.readRequest(key))
			continue
		}
		for _, i := range ranks {
			req := g.readRequest(key)
			req.Instance = g.links[i].instance
			go g.readRank(ctx, i, g.links[i], req, g.epoch)
		}
	}
}

// readBatchKey identifies the readings that may share a call to a relay.
type readBatchKey struct {
	part    int
	counts  bool
	copying bool
}

// noPart is the part of ranks that are called without a relay.
const noPart = -1

// dueRead reports whether a rank is to be read now, and how.
func (g *group) dueRead(now time.Time, i int, link *rankLink) (key readBatchKey, ok bool) {
	usual := g.readPeriod
	period := usual
	if g.switcher.AwaitsRank(now, i) {
		period, key.copying = min(usual, switchReadPeriod), g.switcher.Phase() == lockstep.Preparing
	}
	if link.instance == "" || link.readInFlight || now.Sub(link.lastReadAt) < period {
		return key, false
	}
	key.counts = key.copying || now.Sub(link.lastCountsAt) >= usual
	key.part = g.relayPart(now, i)
	return key, true
}

func (g *group) readRequest(key readBatchKey) *wire.ReadRankRequest {
	req := &wire.ReadRankRequest{Counts: key.counts, HeldExperts: g.switcher.Current() == nil, Reader: g.token}
	if key.copying {
		req.AwaitPrepared, req.AwaitMs = g.switcher.Version(), uint32(min(g.readPeriod, maxCopyWait).Milliseconds())
	}
	return req
}

func (g *group) readRank(ctx context.Context, i int, link *rankLink, req *wire.ReadRankRequest, epoch uint64) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	at := g.clock()
	reading, err := callRank(g, link, func(c wire.DRPCSidecarClient) (*wire.RankReading, error) { return c.Read(ctx, req) },
		func(r *sidecar.Rank) (*wire.RankReading, error) {
			// Reading counters from another host would pause the group.
			reading, err := r.Read(ctx, &wire.ReadRankRequest{Instance: req.Instance, HeldExperts: req.HeldExperts})
			return g.withReportLag(reading), err
		})
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.handleReading(at, i, link, req, epoch, reading, err) {
		g.observeChoices(reading.Chosen)
	}
}

// handleReading handles the result of a read. It returns whether the reading succeeded
// and is from the expected run of the rank and the current epoch.
func (g *group) handleReading(at time.Time, i int, link *rankLink, req *wire.ReadRankRequest, epoch uint64, reading *wire.RankReading, err error) bool {
	link.readInFlight = false
	if err != nil {
		kernel.Debug(g.log, "Rank can't be read.", "group", g.name, "rank", i, "upstream", req.Instance, "err", err)
	}
	if err != nil || g.epoch != epoch || link.instance != req.Instance || !link.isFromThisRun(reading.Report) {
		return false
	}
	g.confirmRegistration(link)
	g.applyReading(at, i, link, req, reading)
	return true
}

// confirmRegistration renews the registration of a rank that has answered. The replica that
// its registrations reach may be partitioned from this one; without the renewal the rank's
// lease would expire here, and the whole group would get no new map although every rank
// answers.
//
// The answer is sufficient proof: the rank checks the instance that a call names, and a
// rank that has ended or restarted answers none. A registration that was withdrawn or
// superseded isn't renewed.
func (g *group) confirmRegistration(link *rankLink) {
	if g.onRankAnswer != nil {
		g.onRankAnswer(link.instance, link.incarnation)
	}
}

// observeChoices adds the ranks' counts of chosen experts to the demand estimate.
func (g *group) observeChoices(packed []byte) {
	chosen, err := lockstep.UnpackChoices(packed)
	if err != nil {
		kernel.Warn(g.log, "Expert choices can't be decoded.", "group", g.name, "err", err)
		return
	}
	if len(chosen) > 0 {
		g.demand.Observe(g.clock(), chosen)
	}
}

// applyReading updates the state of a rank from a reading.
func (g *group) applyReading(at time.Time, i int, link *rankLink, req *wire.ReadRankRequest, reading *wire.RankReading) {
	if reading.Epoch != 0 && reading.Epoch != g.epoch {
		// The group has formed again, and the directory is about to announce it.
		return
	}
	// The report was read after the wait at the rank's host. Without this, the answer to
	// an order during the wait would count as newer than the report.
	at = at.Add(time.Duration(reading.WaitedMs) * time.Millisecond)
	g.updateSlowdown(i, link, reading.Report.Pace)
	link.running, link.waiting = reading.Report.Running, reading.Report.Waiting
	link.stateAt = at.Add(-time.Duration(reading.Report.AgeMs) * time.Millisecond)
	g.switcher.HandleReport(at, i, link.instance, reading.Report)
	if req.AwaitPrepared != 0 && reading.Report.Prepared == req.AwaitPrepared {
		g.requestTick()
	}
	if req.HeldExperts && reading.Held != nil {
		link.heldExperts, link.heldVersion = reading.Held, reading.Report.Map
		g.assembleMap()
	}
}

// updateSlowdown records the slowdown of a rank, and logs when the rank becomes slow or recovers.
func (g *group) updateSlowdown(i int, link *rankLink, slowdown float64) {
	if (slowdown < lockstep.StragglerSlowdown) != (link.slowdown < lockstep.StragglerSlowdown) {
		kernel.Info(g.log, "Rank pace changed.", "group", g.name, "rank", i, "upstream", link.instance, "pace", slowdown, "before", link.slowdown)
	}
	link.slowdown = slowdown
}

// assembleMap assembles the map in force once all ranks have reported the experts that
// they hold under the same map version.
func (g *group) assembleMap() {
	if g.switcher.Current() != nil {
		return
	}
	m := make(lockstep.Map, g.shape.Sets)
	for _, link := range g.links {
		if len(link.heldExperts) != g.shape.Sets || link.heldVersion != g.links[0].heldVersion {
			return
		}
		for set, list := range link.heldExperts {
			m[set] = append(m[set], list.Experts)
		}
	}
	if err := m.Check(g.shape); err != nil {
		kernel.Warn(g.log, "Map assembled from the ranks is invalid.", "group", g.name, "err", err)
		return
	}
	g.switcher.SetCurrent(m)
}

// withReportLag sets the age of a reading taken from another host, to which a rank reports
// its state with a delay. Taken as fresh, a report from before a hold would show that the
// group isn't held.
func (g *group) withReportLag(reading *wire.RankReading) *wire.RankReading {
	g.setReportAge(reading.GetReport())
	return reading
}

// setReportAge sets the age of a report, if there is one, to reportLag.
func (g *group) setReportAge(report *wire.RankReport) {
	if report != nil {
		report.AgeMs = uint32(g.reportLag.Milliseconds())
	}
}

// maxSurveyAge is the maximum age of a rank's state in a survey. An older state says little
// about the requests in progress.
const maxSurveyAge = 600 * time.Millisecond

// rankStates returns the states of the ranks for a survey, without outdated ones.
func (g *group) rankStates(now time.Time) (list []*wire.RankState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, link := range g.links {
		age := now.Sub(link.stateAt)
		if link.stateAt.IsZero() || age > maxSurveyAge {
			continue
		}
		list = append(list, &wire.RankState{
			Upstream: link.instance, Running: link.running, Waiting: link.waiting,
			PacePercent: uint32(100 * link.slowdown), AgeMs: uint32(max(age, 0).Milliseconds()),
		})
	}
	return list
}

// rankSlowdowns returns the slowdown of each rank, with 1 for those that aren't slow; nil if none
// is slow.
func (g *group) rankSlowdowns() lockstep.Slowdown {
	var slowdown lockstep.Slowdown
	for i, link := range g.links {
		if link.slowdown < lockstep.StragglerSlowdown {
			continue
		}
		if slowdown == nil {
			slowdown = slices.Repeat(lockstep.Slowdown{1}, len(g.links))
		}
		slowdown[i] = link.slowdown
	}
	return slowdown
}
