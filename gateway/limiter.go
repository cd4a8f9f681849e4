package gateway

import (
	"fmt"
	"time"

	"github.com/snipereach/snipereach/dialect"
	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/route"
)

const (
	// evenShareMargin is how much more than its share of a group's slots a gateway may use while
	// the occupancy is unknown, as requests don't spread evenly over gateways. plainShareMargin
	// is the same for a plain service, whose occupancy is never used; it is larger, as its
	// requests are short.
	evenShareMargin  = 1.2
	plainShareMargin = 1.5
	// maxFill is the fraction of a group's slots that gateways fill. Ranks aren't loaded evenly,
	// and a request that queues at a full rank is late.
	maxFill = 0.95
	// freeSlotMargin is how much more than its share of the free slots a gateway may take until
	// the next load report. Slots that other gateways leave unused would otherwise stay free
	// until then.
	freeSlotMargin = 1.5
	// initialPlacementPeriod is how long a newly formed group may run with its initial expert
	// placement, which suits no demand. The duration of its passes says nothing about later ones.
	initialPlacementPeriod = 2 * time.Second
	// defaultRounding is used by a gateway that doesn't know its index among the others.
	defaultRounding = 0.5
	// occupancySmoothing is the EWMA smoothing factor of the occupancy for the load that comes
	// with a response. occupancyStaleness is the age from which the occupancy is ignored.
	occupancySmoothing = 0.1
	occupancyStaleness = 500 * time.Millisecond
	// minOccupancyForShare is the occupancy from which the gateway's fraction of the running
	// requests is measured. While a group is nearly empty or fills up, each gateway has more
	// requests than the survey has seen. shareSmoothing is the EWMA smoothing factor of that
	// fraction, per survey: two seconds of surveys make the estimate.
	minOccupancyForShare = 0.25
	shareSmoothing       = 0.1
	// latencySmoothing is the EWMA smoothing factor of the head time and of the hold time, per
	// request.
	latencySmoothing = 0.1
	// plainRequestsPerSlot is how many requests for each slot a plain service may have: its
	// requests are short, and its upstreams queue a few.
	plainRequestsPerSlot = 3
	// minPlainLimit is the least concurrency limit of a gateway at a plain service, unless that
	// has fewer slots. With many gateways the share of one is less than two requests, and a
	// single unresponsive upstream would block all others of that gateway.
	minPlainLimit = 3
	// probeInterval is the time between two requests that are admitted to an unavailable group,
	// to detect its recovery before its ranks report it.
	probeInterval = 200 * time.Millisecond
	// failoverProbeInterval replaces probeInterval while other groups of the service are
	// available. Each failed probe costs a retry there: five a second from each of 28 gateways
	// would be half of all requests. Ranks report within the period of their registrations that
	// the group has formed again.
	failoverProbeInterval = 2 * time.Second
	// incompleteTimeout is how long a group that serves nothing may lack ranks before it counts
	// as incomplete. A rank that restarts registers again within it.
	incompleteTimeout = 5 * time.Second
	// stallTimeout is how long a group may give no event to any stream of this gateway before it
	// counts as stalled: a pass takes a tenth of it, a slow one a third. stallMinRequests requests
	// must be in flight, so that one slow response isn't taken for a stall.
	stallTimeout     = 400 * time.Millisecond
	stallMinRequests = 3
)

// groupLimiter limits the requests that a gateway may have in flight at a group, and tracks
// whether the group is available.
//
// It guards against more requests than the upstreams have slots for. Requests in an upstream's
// queue delay all that follow and can't be reordered there, so they are queued at the gateway
// instead (waitQueue). Gateways don't see each other's requests: each may keep what it has and
// take its share of the free slots.
type groupLimiter struct {
	inflight int
	slots    int
	// lockstep says that the upstreams run in lock-step.
	lockstep bool
	// epoch is that of the latest formation of the group, which became known at formedAt. down
	// says that the group serves nothing. probedAt is when a request was last admitted to the
	// unavailable group, or when it went down or formed.
	epoch    uint64
	formedAt time.Time
	down     bool
	probedAt time.Time
	// ranks is how many ranks of the group are registered, size how many it has. lacksRanksSince
	// is since when some are missing; zero if none is.
	ranks, size     int
	lacksRanksSince time.Time
	// occupancy is the estimated fraction of the slots in use, as of occupancyAt.
	// reportedInflight is how many requests this gateway had in flight then.
	occupancy        float64
	occupancyAt      time.Time
	reportedInflight int
	// rounding is added to the limit before it is rounded down. It differs between gateways: if
	// all rounded up, each would admit a request for a single free slot, and reading all their
	// prompts would make the next pass long for all streams.
	rounding float64
	// ownFraction is the EWMA of this gateway's fraction of the group's running requests; 0 if
	// unknown.
	ownFraction float64
	// surveyedAt is the time of the latest survey.
	surveyedAt time.Time
	// progressAt is when the group last showed progress, or when the first of the requests now in
	// flight was sent.
	progressAt time.Time
	throttle   passThrottle
	slotCap    slotCap
	headroom   headroomEstimate
}

// setUpstreams updates the slots, those of evacuated upstreams apart, and the group epoch from the
// registrations of the upstreams that are up.
func (g *groupLimiter) setUpstreams(now time.Time, insts []*directory.Instance, evacuated map[string]bool) {
	g.slots, g.lockstep, g.size = 0, false, 0
	var reported directory.GroupEpoch
	ranks := map[uint32]bool{}
	for _, i := range insts {
		if !evacuated[i.Id] {
			g.slots += int(i.Direct.Slots)
		}
		g.lockstep = g.lockstep || i.Group != ""
		g.size = max(g.size, int(i.Direct.GroupSize))
		ranks[i.Rank] = true
		reported.Merge(i.Direct)
	}
	g.setRanks(now, len(ranks))
	switch {
	case reported.Epoch > g.epoch:
		g.epoch, g.down, g.formedAt, g.slotCap = reported.Epoch, reported.Broken, now, slotCap{}
		g.probedAt = now
	case reported.Broken && !g.down && reported.Epoch == g.epoch:
		g.markDown(now)
	}
}

// setRanks records how many ranks of the group are registered.
func (g *groupLimiter) setRanks(now time.Time, ranks int) {
	g.ranks = ranks
	switch {
	case !g.lockstep || ranks >= g.size:
		g.lacksRanksSince = time.Time{}
	case g.lacksRanksSince.IsZero():
		g.lacksRanksSince = now
	}
}

// incomplete reports whether the group serves nothing and can't form, as ranks have been missing
// for incompleteTimeout. A request that waits for it would wait in vain.
func (g *groupLimiter) incomplete(now time.Time) bool {
	return g.down && !g.lacksRanksSince.IsZero() && now.Sub(g.lacksRanksSince) >= incompleteTimeout
}

// markDown records that the group serves nothing.
func (g *groupLimiter) markDown(now time.Time) {
	g.down = true
	g.probedAt = now
}

// applySurvey updates the occupancy from a survey of all ranks. It is more accurate than the
// loads of the few upstreams that answer this gateway.
func (g *groupLimiter) applySurvey(now time.Time, v *route.Survey, upstreams map[string]*directory.Instance) {
	requests, slots := 0, 0
	for _, l := range v.Loads {
		requests += l.Requests
		slots += int(upstreams[l.ID].Direct.Slots)
	}
	if slots == 0 {
		return
	}
	g.occupancy = float64(requests) / float64(slots)
	g.occupancyAt, g.surveyedAt, g.reportedInflight = now, now, g.inflight
	g.headroom.applySurvey(now, g.occupancy)
	g.rounding = v.Offset()
	if g.occupancy >= minOccupancyForShare {
		g.ownFraction += shareSmoothing * (min(float64(g.reportedInflight)/float64(requests), 1) - g.ownFraction)
	}
}

// share returns the fraction of the group that this gateway may use: an even share, or its
// fraction of the running requests if that is larger. If callers use some of the gateways only,
// even shares would leave the slots of the others unused. The shares of all gateways add up to 2
// at most.
func (g *groupLimiter) share(gateways int) float64 {
	return max(1/float64(max(gateways, 1)), g.ownFraction)
}

// recordLoad updates the occupancy from the load in a response, unless a recent survey has set
// it.
func (g *groupLimiter) recordLoad(now time.Time, l *dialect.Load) {
	if l.Slots <= 0 || now.Sub(g.surveyedAt) < occupancyStaleness {
		return
	}
	used := float64(l.Running+l.Waiting) / float64(l.Slots)
	if now.Sub(g.occupancyAt) > occupancyStaleness {
		g.occupancy = used
	}
	g.occupancy += occupancySmoothing * (used - g.occupancy)
	g.occupancyAt, g.reportedInflight, g.rounding = now, g.inflight, defaultRounding
}

// available reports whether the group is neither down nor stalled.
func (g *groupLimiter) available(now time.Time) bool { return !g.down && !g.stalled(now) }

// mayAdmit reports whether a request may be sent: the group is available, or a probe is due.
// alternatives says that other groups of the service are available. An incomplete group is probed
// seldom, as the registrations of its ranks tell when it may form.
func (g *groupLimiter) mayAdmit(now time.Time, alternatives bool) bool {
	interval := probeInterval
	if alternatives || g.incomplete(now) {
		interval = failoverProbeInterval
	}
	return g.available(now) || now.Sub(g.probedAt) >= interval
}

// acquire counts a request that is sent. One that is sent to an unavailable group is a probe.
func (g *groupLimiter) acquire(now time.Time) {
	if g.inflight == 0 {
		g.progressAt = now
	}
	if !g.available(now) {
		g.probedAt = now
	}
	g.inflight++
}

// recordProgress records an event or the head of a response.
func (g *groupLimiter) recordProgress(now time.Time) { g.progressAt = now }

// observeGap records the gap between two events of a stream, the target gap, and the part of a
// pass that doesn't depend on the running requests. When a new pass begins it returns the
// duration of the previous one, which is final then, as all streams have reported it.
func (g *groupLimiter) observeGap(now time.Time, gateways int, gap, targetGap, fixed time.Duration) (prevPass time.Duration, done bool) {
	prevPass = g.throttle.lastPass
	if newPass := g.throttle.observeGap(now, gap, targetGap); !newPass || prevPass == 0 {
		return 0, false
	}
	if now.Sub(g.occupancyAt) < occupancyStaleness && now.Sub(g.formedAt) > initialPlacementPeriod {
		fill := g.estimatedOccupancy(gateways)
		g.slotCap.observePass(now, prevPass, targetGap, fixed, fill)
		g.headroom.observePass(prevPass, targetGap, fixed, fill)
	}
	return prevPass, true
}

// estimatedOccupancy returns the fraction of the slots in use now, assuming that each gateway has
// added as many requests since the last report as this one. While a group fills up the reported
// occupancy is too low.
func (g *groupLimiter) estimatedOccupancy(gateways int) float64 {
	added := float64((g.inflight-g.reportedInflight)*max(gateways, 1)) / float64(max(g.slots, 1))
	return g.occupancy + max(added, 0)
}

// stalled reports whether no stream of the group gets events, as while it waits for a rank that
// doesn't respond. Requests sent now would wait until their callers have left, and then run for
// nobody.
func (g *groupLimiter) stalled(now time.Time) bool {
	return g.lockstep && g.inflight >= stallMinRequests && now.Sub(g.progressAt) > stallTimeout
}

// groupState is the state of a group as seen by a gateway.
type groupState int

const (
	groupOpen groupState = iota
	// groupDown means that the group reports that it serves nothing.
	groupDown
	// groupStalled means that no stream gets events.
	groupStalled
	// groupIncomplete means that the group serves nothing and lacks ranks that it needs to form.
	groupIncomplete
)

var groupStateNames = [...]string{"open", "down", "stalled", "incomplete"}

// String returns the state as shown in logs.
func (s groupState) String() string { return groupStateNames[s] }

func (g *groupLimiter) state(now time.Time) groupState {
	switch {
	case g.incomplete(now):
		return groupIncomplete
	case g.down:
		return groupDown
	case g.stalled(now):
		return groupStalled
	}
	return groupOpen
}

// describe returns the inputs of admission decisions with their ages, for logs.
func (g *groupLimiter) describe(now time.Time, gateways int) string {
	return fmt.Sprintf("%s: %d in flight of %d, admit fraction %.2f, slot fraction %.2f, %d slots%s, %d gateways, share %.3f, epoch %d, last progress %d ms ago, occupancy %.2f reported %d ms ago",
		g.state(now), g.inflight, g.limit(now, gateways), g.throttle.admitFraction(now), g.slotCap.fraction(now), g.slots, g.describeRanks(), gateways, g.share(gateways), g.epoch,
		now.Sub(g.progressAt).Milliseconds(), g.occupancy, now.Sub(g.occupancyAt).Milliseconds())
}

// describeRanks returns how many ranks of a group in lock-step are registered, for logs.
func (g *groupLimiter) describeRanks() string {
	if !g.lockstep {
		return ""
	}
	return fmt.Sprintf(", %d of %d ranks", g.ranks, g.size)
}

// progressing reports whether the group has made progress lately, so that a stalled request waits
// for its own upstream only.
func (g *groupLimiter) progressing(now time.Time) bool {
	return !g.down && now.Sub(g.progressAt) < stallTimeout
}

// limit returns how many requests this gateway may have in flight at the group.
//
// If the occupancy of a group in lock-step is known, the gateway may keep what it has and take
// its share of the free slots. A fixed even share would make it refuse requests while others
// leave slots unused. If more slots are in use than may be, the gateway gives up a proportional
// part of its own.
func (g *groupLimiter) limit(now time.Time, gateways int) int {
	if !g.lockstep {
		return g.plainLimit(gateways)
	}
	return max(g.limitWithin(now, gateways, maxFill, 0), 1)
}

// plainLimit is the limit of a plain service.
func (g *groupLimiter) plainLimit(gateways int) int {
	limit := int(plainShareMargin * plainRequestsPerSlot * float64(g.slots) * g.share(gateways))
	return max(limit, min(minPlainLimit, g.slots), 1)
}

func (g *groupLimiter) release() { g.inflight-- }

// markUp records that the group has served a request.
func (g *groupLimiter) markUp() { g.down = false }
