package control

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
	// readTimeout and orderTimeout bound one call to a rank. A reading may wait for a
	// copy, for as long as the period of readings.
	readTimeout  = 400 * time.Millisecond
	mostAwait    = readTimeout / 2
	orderTimeout = 250 * time.Millisecond
	// farOrderAnswer is how long a rank on another host may take to answer an order;
	// the rest of orderTimeout is for its state.
	farOrderAnswer = 150 * time.Millisecond
	// busyReadPeriod is the time between two readings of a rank's state during a
	// switch: a group may be held meanwhile.
	busyReadPeriod = 60 * time.Millisecond
	// sidecarRest is how long a sidecar that did not answer isn't called; the rank is
	// called directly meanwhile.
	sidecarRest = 2 * time.Second
)

// rankLink is the way to one rank.
type rankLink struct {
	instance string
	// incarnation tells apart two runs under one instance ID; onlyIncarnation if the rank
	// doesn't tell.
	incarnation uint64
	address     string
	reading     bool
	readAt      time.Time
	// countedAt is when its counters were read last.
	countedAt time.Time
	// restUntil is when its sidecar is called again.
	restUntil time.Time
	held      []*wire.ExpertList
	heldMap   uint64
	// pace is how many times as long as usual the rank took for its work lately.
	pace float64
	// running and waiting are its requests as of stateAt; zero if never read.
	running, waiting uint32
	stateAt          time.Time
}

// said says whether a report is one of the run that has registered. One that started
// again under its ID holds nothing of what was ordered before, and the directory will say
// soon that it did: until then its answers must not pass for those of the earlier run.
func (l *rankLink) said(report *wire.RankReport) bool {
	return report.GetIncarnation() == 0 || report.GetIncarnation() == l.incarnation
}

// read asks the ranks that are due. Those that a switch awaits are read more often, and
// one that copies answers when it is done: 72 ranks that were all read each 60 ms took
// the whole processor of a leader with 0.12 cores, and its followers elected another.
func (g *lockstepGroup) read(ctx context.Context, now time.Time) {
	due := map[readKey][]int{}
	for i, link := range g.links {
		key, ok := g.due(now, i, link)
		if !ok {
			continue
		}
		link.reading, link.readAt = true, now
		if key.counts {
			link.countedAt = now
		}
		due[key] = append(due[key], i)
	}
	for key, ranks := range due {
		if via, ok := g.relayOf(now, key.part, ranks); ok {
			go g.readMany(ctx, via, ranks, g.readRequest(key))
			continue
		}
		for _, i := range ranks {
			req := g.readRequest(key)
			req.Instance = g.links[i].instance
			go g.readOne(ctx, i, g.links[i], req, g.epoch)
		}
	}
}

// readKey is what readings have in common that one call may ask a relay for.
type readKey struct {
	part    int
	counts  bool
	copying bool
}

// noPart is that of ranks that are called without a relay.
const noPart = -1

// due says whether a rank is to be read now, and how.
func (g *lockstepGroup) due(now time.Time, i int, link *rankLink) (key readKey, ok bool) {
	usual := g.readPeriod
	period := usual
	if g.switcher.Awaits(i) {
		period, key.copying = min(usual, busyReadPeriod), g.switcher.Phase() == lockstep.Preparing
	}
	if link.instance == "" || link.reading || now.Sub(link.readAt) < period {
		return key, false
	}
	key.counts = key.copying || now.Sub(link.countedAt) >= usual
	key.part = g.partOf(now, i)
	return key, true
}

func (g *lockstepGroup) readRequest(key readKey) *wire.ReadRankRequest {
	req := &wire.ReadRankRequest{Counts: key.counts, HeldExperts: g.switcher.Current() == nil, Reader: g.token}
	if key.copying {
		req.AwaitPrepared, req.AwaitMs = g.switcher.Version(), uint32(min(g.readPeriod, mostAwait).Milliseconds())
	}
	return req
}

func (g *lockstepGroup) readOne(ctx context.Context, i int, link *rankLink, req *wire.ReadRankRequest, epoch uint64) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	at := g.clock()
	reading, err := callRank(g, link, func(c wire.DRPCSidecarClient) (*wire.RankReading, error) { return c.Read(ctx, req) },
		func(r *sidecar.Rank) (*wire.RankReading, error) {
			// From another host counts cost the group a pause.
			reading, err := r.Read(ctx, &wire.ReadRankRequest{Instance: req.Instance, HeldExperts: req.HeldExperts})
			return g.aged(reading), err
		})
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.believeReading(at, i, link, req, epoch, reading, err) {
		g.observe(reading.Chosen)
	}
}

// believeReading takes a rank's reading, or that it can't be read; it returns whether the
// reading is one of the run of the rank and of the epoch that were meant.
func (g *lockstepGroup) believeReading(at time.Time, i int, link *rankLink, req *wire.ReadRankRequest, epoch uint64, reading *wire.RankReading, err error) bool {
	link.reading = false
	if err != nil {
		kernel.Debug(g.log, "Rank can't be read.", "group", g.name, "rank", i, "upstream", req.Instance, "err", err)
	}
	if err != nil || g.epoch != epoch || link.instance != req.Instance || !link.said(reading.Report) {
		return false
	}
	g.take(at, i, link, req, reading)
	return true
}

// observe takes what was chosen at some ranks.
func (g *lockstepGroup) observe(packed []byte) {
	chosen, err := lockstep.UnpackChoices(packed)
	if err != nil {
		kernel.Warn(g.log, "Choices can't be read.", "group", g.name, "err", err)
		return
	}
	if len(chosen) > 0 {
		g.demand.Observe(g.clock(), chosen)
	}
}

func (g *lockstepGroup) take(at time.Time, i int, link *rankLink, req *wire.ReadRankRequest, reading *wire.RankReading) {
	if reading.Epoch != 0 && reading.Epoch != g.epoch {
		// The group has formed again; the directory will say so soon.
		return
	}
	// The wait at the rank's host is no part of the report's age: an order that was
	// answered meanwhile has told an older state.
	at = at.Add(time.Duration(reading.WaitedMs) * time.Millisecond)
	g.believePace(i, link, reading.Report.Pace)
	link.running, link.waiting = reading.Report.Running, reading.Report.Waiting
	link.stateAt = at.Add(-time.Duration(reading.Report.AgeMs) * time.Millisecond)
	g.switcher.Heard(at, i, link.instance, reading.Report)
	if req.AwaitPrepared != 0 && reading.Report.Prepared == req.AwaitPrepared {
		g.wakeUp()
	}
	if req.HeldExperts && reading.Held != nil {
		link.held, link.heldMap = reading.Held, reading.Report.Map
		g.joinHeld()
	}
}

// believePace notes the pace of a rank, and tells when it becomes slow or usual again.
func (g *lockstepGroup) believePace(i int, link *rankLink, pace float64) {
	if (pace < lockstep.SlowPace) != (link.pace < lockstep.SlowPace) {
		kernel.Info(g.log, "Rank's pace.", "group", g.name, "rank", i, "upstream", link.instance, "pace", pace, "before", link.pace)
	}
	link.pace = pace
}

// joinHeld makes the map in force out of what all ranks hold.
func (g *lockstepGroup) joinHeld() {
	if g.switcher.Current() != nil {
		return
	}
	m := make(lockstep.Map, g.shape.Sets)
	for _, link := range g.links {
		if len(link.held) != g.shape.Sets || link.heldMap != g.links[0].heldMap {
			return
		}
		for set, list := range link.held {
			m[set] = append(m[set], list.Experts)
		}
	}
	if err := m.Check(g.shape); err != nil {
		kernel.Warn(g.log, "The ranks' map can't be read.", "group", g.name, "err", err)
		return
	}
	g.switcher.SetCurrent(m)
}

// aged marks what was read from another host as old: a rank tells others how it was
// some time ago. Taken for fresh, a report from before a hold would say that the
// group isn't held.
func (g *lockstepGroup) aged(reading *wire.RankReading) *wire.RankReading {
	g.age(reading.GetReport())
	return reading
}

func (g *lockstepGroup) age(report *wire.RankReport) {
	if report != nil {
		report.AgeMs = uint32(g.reportLag.Milliseconds())
	}
}

// surveyAge is how old a rank's state may be that entries are told: later than that its
// requests have ended and others have come.
const surveyAge = 600 * time.Millisecond

// states are what entries are told of the ranks.
func (g *lockstepGroup) states(now time.Time) (list []*wire.RankState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, link := range g.links {
		age := now.Sub(link.stateAt)
		if link.stateAt.IsZero() || age > surveyAge {
			continue
		}
		list = append(list, &wire.RankState{
			Upstream: link.instance, Running: link.running, Waiting: link.waiting,
			PacePercent: uint32(100 * link.pace), AgeMs: uint32(max(age, 0).Milliseconds()),
		})
	}
	return list
}

// pace returns how slow the ranks say that they are; nil if none is slow.
func (g *lockstepGroup) pace() lockstep.Pace {
	var pace lockstep.Pace
	for i, link := range g.links {
		if link.pace < lockstep.SlowPace {
			continue
		}
		if pace == nil {
			pace = slices.Repeat(lockstep.Pace{1}, len(g.links))
		}
		pace[i] = link.pace
	}
	return pace
}
