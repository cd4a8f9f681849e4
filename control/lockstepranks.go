package control

import (
	"context"
	"net"
	"slices"
	"strconv"
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

// run names the run of the rank.
func (l *rankLink) run() lockstep.Run {
	return lockstep.Run{Instance: l.instance, Incarnation: l.incarnation}
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
	usual := g.readPeriod
	for i, link := range g.links {
		period, copying := usual, false
		if g.switcher.Awaits(i) {
			period, copying = min(usual, busyReadPeriod), g.switcher.Phase() == lockstep.Preparing
		}
		if link.instance == "" || link.reading || now.Sub(link.readAt) < period {
			continue
		}
		counts := copying || now.Sub(link.countedAt) >= usual
		if counts {
			link.countedAt = now
		}
		link.reading, link.readAt = true, now
		req := &wire.ReadRankRequest{Instance: link.instance, Counts: counts, HeldExperts: g.switcher.Current() == nil}
		if copying {
			req.AwaitPrepared, req.AwaitMs = g.switcher.Version(), uint32(min(usual, mostAwait).Milliseconds())
		}
		go g.readOne(ctx, i, link, req, g.epoch)
	}
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
	link.reading = false
	if err != nil {
		kernel.Debug(g.log, "Rank can't be read.", "group", g.name, "rank", i, "upstream", req.Instance, "err", err)
	}
	if err != nil || g.epoch != epoch || link.instance != req.Instance || !link.said(reading.Report) {
		return
	}
	g.take(at, i, link, req, reading)
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
	if reading.Counts != nil {
		g.demand.Observe(g.clock(), i, link.run(), reading.Counts)
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

// send gives an order and tells the switcher its answer.
func (g *lockstepGroup) send(ctx context.Context, o lockstep.Order) {
	link, switcher := g.links[o.Rank], g.switcher
	go func() {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		reply, err := callRank(g, link, func(c wire.DRPCSidecarClient) (*wire.RankOrderReply, error) { return c.Order(ctx, o.RankOrder) },
			func(r *sidecar.Rank) (*wire.RankOrderReply, error) {
				reply, err := r.Order(ctx, o.RankOrder)
				g.age(reply.GetAfter())
				return reply, err
			})
		g.mu.Lock()
		defer g.mu.Unlock()
		if err != nil || !link.said(reply.GetAfter()) {
			reply = nil
		}
		g.metrics.Count("lockstep.orders")
		if reply.GetStatus() == wire.RankOrderStatus_RANK_ORDER_STATUS_UNKNOWN {
			g.metrics.Count("lockstep.orders.unanswered")
		}
		kernel.Debug(g.log, "Order answered.", "group", g.name, "rank", o.Rank, "order", o.Kind, "version", o.Version, "step", o.Step,
			"expect", o.ExpectSequence, "status", reply.GetStatus(), "after", reply.GetAfter(), "err", err)
		switcher.Replied(g.clock(), o.Rank, o.RankOrder, reply)
		g.wakeUp()
	}()
}

// callRank calls a rank through the sidecar beside it, or directly while that doesn't
// answer.
func callRank[R any](g *lockstepGroup, link *rankLink, near func(wire.DRPCSidecarClient) (R, error), far func(*sidecar.Rank) (R, error)) (R, error) {
	g.mu.Lock()
	address, rest := link.address, link.restUntil
	g.mu.Unlock()
	host, _, err := net.SplitHostPort(address)
	if err == nil && g.settings.SidecarPort != 0 && g.clock().After(rest) {
		addr := net.JoinHostPort(host, strconv.Itoa(g.settings.SidecarPort))
		reply, err := near(wire.NewDRPCSidecarClient(g.pool.Conn(context.Background(), addr)))
		if err == nil {
			return reply, nil
		}
		g.mu.Lock()
		link.restUntil = g.clock().Add(sidecarRest)
		g.mu.Unlock()
		return reply, err
	}
	return far(sidecar.NewRank(g.client, g.ranks, address, farOrderAnswer))
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
