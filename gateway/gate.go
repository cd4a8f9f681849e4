package gateway

import (
	"fmt"
	"time"

	"github.com/snipereach/snipereach/dialect"
	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/route"
)

const (
	// shareMargin is how much more than its part of a service's slots one entry may
	// use while it doesn't know how many are taken: how callers spread over the
	// entries changes. That of a plain service is larger, as its requests are short.
	shareMargin      = 1.2
	plainShareMargin = 1.5
	// fillPart is the part of a group's slots that entries fill: a rank gets a request more
	// or less than the others, and what waits at a full one is late.
	fillPart = 0.95
	// freeMargin is how much more than its part of the free slots one entry may take
	// until it is told again: what the others leave is lost for that time otherwise.
	freeMargin = 1.5
	// firstMap is how long a group that has formed may run with its first map, which suits no
	// demand: how long its passes are then tells nothing of later ones.
	firstMap = 2 * time.Second
	// evenRounding is for an entry that doesn't know its place among the others.
	evenRounding = 0.5
	// occupancyWeight is that of one upstream's load in the estimate, and
	// occupancyLife the age at which the estimate tells nothing any more.
	occupancyWeight = 0.1
	occupancyLife   = 500 * time.Millisecond
	// leastOwn is the occupancy from which the requests of an entry are compared with all that run, and
	// ownWeight that of one survey in its part of them: two seconds of surveys make the estimate. While a group
	// is nearly empty or fills up, all entries have more than the survey has seen.
	leastOwn  = 0.25
	ownWeight = 0.1
	// headWeight is that of one answer in the usual time to a head.
	headWeight = 0.1
	// plainQueue is how many requests for each slot a plain service may have: its
	// requests are short, and its upstreams queue a few.
	plainQueue = 3
	// leastPlain is how many requests an entry may have at a plain service in any case, if it has as many
	// slots: where entries are many more than these, one request at an upstream that says nothing kept all others of its entry back.
	leastPlain = 3
	// probeInterval is the time between two requests that are let through to a group
	// that is down, to see whether it is back before its ranks have said so.
	probeInterval = 200 * time.Millisecond
	// seldomProbe is the same while other groups of the service answer: each such request needs
	// a second attempt there, and those of 28 entries, five a second each, would be half of all requests.
	// That a group has formed again its ranks say within the period of their registrations.
	seldomProbe = 2 * time.Second
	// standstill is how long a group may give no event to any stream of this entry
	// before it counts as standing still: a pass takes a tenth of that, a slow one a
	// third. standstillStreams requests must be waiting, so that it isn't one slow
	// answer.
	standstill        = 400 * time.Millisecond
	standstillStreams = 3
)

// gate says how many requests an entry may have at a group, and whether that answers.
//
// The load that it answers: more requests than the upstreams have slots for, from a
// burst, from passes that have become slow, or from a group that stood still for
// seconds. What waits in their queues then makes all that follow late too, as the
// service is near its capacity at the best of times, and nobody can go first there; so
// requests wait at the entry (waitingLine). Entries don't see each other's requests: each
// keeps to what it has and its part of the free slots.
type gate struct {
	inflight int
	slots    int
	// grouped says that the upstreams run in lock-step.
	grouped bool
	// epoch is that of the latest forming of the group, as of formedAt; down says that it runs
	// nothing; probed is when a request was let through last.
	epoch    uint64
	formedAt time.Time
	down     bool
	probed   time.Time
	// occupancy is the estimated part of the slots in use, as of told; held is how many
	// requests of this entry were among them.
	occupancy float64
	told      time.Time
	held      int
	// rounding is what this entry adds to its part before it is rounded down: another part of one at
	// each entry. If all rounded up, 28 entries would let 28 requests in at once for one free slot, and
	// the pass that reads their prompts is long for all streams.
	rounding float64
	// own is the part of the requests of all entries that are this one's; 0 before it is known.
	own float64
	// surveyAt is when a survey told it last.
	surveyAt time.Time
	// sign is when the group last gave a sign of life, or the first of the requests
	// that wait for one was sent.
	sign   time.Time
	brake  brake
	relief relief
}

// formed takes what the upstreams that are up have registered.
func (g *gate) formed(now time.Time, insts []*directory.Instance) {
	g.slots, g.grouped = 0, false
	var said directory.GroupEpoch
	for _, i := range insts {
		g.slots += int(i.Direct.Slots)
		g.grouped = g.grouped || i.Group != ""
		said.Take(i.Direct)
	}
	switch {
	case said.Epoch > g.epoch:
		g.epoch, g.down, g.formedAt, g.relief = said.Epoch, said.Broken, now, relief{}
		g.probed = now
	case said.Broken && !g.down && said.Epoch == g.epoch:
		g.broke(now)
	}
}

// broke notes that the group runs nothing.
func (g *gate) broke(now time.Time) {
	g.down = true
	g.probed = now
}

// surveyed takes the load of the upstreams as their leader has read them: better than
// those of the few upstreams that answer this entry.
func (g *gate) surveyed(now time.Time, v *route.Survey, ups map[string]*directory.Instance) {
	requests, slots := 0, 0
	for _, l := range v.Loads {
		requests += l.Requests
		slots += int(ups[l.ID].Direct.Slots)
	}
	if slots == 0 {
		return
	}
	g.occupancy = float64(requests) / float64(slots)
	g.told, g.surveyAt, g.held = now, now, g.inflight
	g.rounding = v.Turn()
	if g.occupancy >= leastOwn {
		g.own += ownWeight * (min(float64(g.held)/float64(requests), 1) - g.own)
	}
}

// ownPart is the part of the group that this entry may take: an even one, or what it has of the requests
// that run, if that is more. Callers come to some of the entries only, and those without any take
// nothing of what their even parts allow: with callers at 64 of 147 entries a third of the slots stayed
// free while requests waited for a second. What all entries have adds up to one, so that those parts do too.
func (g *gate) ownPart(entries int) float64 { return max(1/float64(max(entries, 1)), g.own) }

// occupied takes the load that came with an answer. A group that answers is back.
func (g *gate) occupied(now time.Time, l *dialect.Load) {
	if l.Slots <= 0 || now.Sub(g.surveyAt) < occupancyLife {
		return
	}
	used := float64(l.Running+l.Waiting) / float64(l.Slots)
	if now.Sub(g.told) > occupancyLife {
		g.occupancy = used
	}
	g.occupancy += occupancyWeight * (used - g.occupancy)
	g.told, g.held, g.rounding = now, g.inflight, evenRounding
}

// opens says whether the service answers, as far as is known.
func (g *gate) opens(now time.Time) bool { return !g.down && !g.standsStill(now) }

// passes says whether a request may be sent: the group answers, or it is time to see
// whether it does. others says that requests may go to another group.
func (g *gate) passes(now time.Time, others bool) bool {
	interval := probeInterval
	if others {
		interval = seldomProbe
	}
	return g.opens(now) || now.Sub(g.probed) >= interval
}

// admit counts a request that is sent.
func (g *gate) admit(now time.Time) {
	if g.inflight == 0 {
		g.sign = now
	}
	if !g.opens(now) {
		g.probed = now
	}
	g.inflight++
}

// alive notes an event or the head of an answer.
func (g *gate) alive(now time.Time) { g.sign = now }

// paused takes the pause between two events of a stream, the one that its caller is content with,
// and the part of a pass that doesn't depend on the requests that run. It returns the pass before
// when another begins: that is known in full then, as all streams have told it.
func (g *gate) paused(now time.Time, entries int, pause, content, fixed time.Duration) (before time.Duration, over bool) {
	before = g.brake.pass
	if another := g.brake.passed(now, pause, content); !another || before == 0 {
		return 0, false
	}
	if now.Sub(g.told) < occupancyLife && now.Sub(g.formedAt) > firstMap {
		g.relief.passed(now, before, content, fixed, g.used(entries))
	}
	return before, true
}

// used is the part of the slots in use by now, if the other entries have as many more requests
// than when it was told as this one: while a group fills up, what was told is too little.
func (g *gate) used(entries int) float64 {
	more := float64((g.inflight-g.held)*max(entries, 1)) / float64(max(g.slots, 1))
	return g.occupancy + max(more, 0)
}

// standsStill says whether no stream of the group gets events, as while it is held
// for a rank that doesn't answer. What is sent then waits until its caller has left,
// and at a host that is frozen it would run later, for nobody.
func (g *gate) standsStill(now time.Time) bool {
	return g.grouped && g.inflight >= standstillStreams && now.Sub(g.sign) > standstill
}

// gateState is what a gate believes of its service.
type gateState int

const (
	gateOpen gateState = iota
	// gateDown: the group says that it runs nothing.
	gateDown
	// gateStill: no stream gets events.
	gateStill
)

var gateStates = [...]string{"open", "down", "standing-still"}

// String returns the state as logs show it.
func (s gateState) String() string { return gateStates[s] }

func (g *gate) state(now time.Time) gateState {
	switch {
	case g.down:
		return gateDown
	case g.standsStill(now):
		return gateStill
	}
	return gateOpen
}

// inputs are what a decision depends on, with their age, for logs.
func (g *gate) inputs(now time.Time, entries int) string {
	return fmt.Sprintf("%s: %d in flight of %d, room %.2f, part %.2f, %d slots, %d entries, own part %.3f, epoch %d, last sign %d ms ago, occupancy %.2f told %d ms ago",
		g.state(now), g.inflight, g.limit(now, entries), g.brake.room(now), g.relief.part(now), g.slots, entries, g.ownPart(entries), g.epoch,
		now.Sub(g.sign).Milliseconds(), g.occupancy, now.Sub(g.told).Milliseconds())
}

// goesOn says whether the service has answered lately: what waits then waits for its
// own upstream only.
func (g *gate) goesOn(now time.Time) bool { return !g.down && now.Sub(g.sign) < standstill }

// limit is how many requests this entry may have at the service.
//
// Where it knows how many slots of a group are taken it keeps what it has and takes its
// part of those that are free: by even parts of all, one entry would refuse callers while
// others leave a quarter of the slots empty. If more are taken than may be, it lets its part of these go.
func (g *gate) limit(now time.Time, entries int) int {
	slots, part := float64(g.slots), g.ownPart(entries)
	if !g.grouped {
		return max(int(plainShareMargin*plainQueue*slots*part), min(leastPlain, g.slots), 1)
	}
	if now.Sub(g.told) >= occupancyLife {
		return max(int(shareMargin*slots*part), 1)
	}
	taken, usable := g.occupancy*slots, min(fillPart, g.relief.part(now))*slots
	mine := float64(g.held)
	if usable > taken {
		mine += freeMargin * (usable - taken) * part
	} else {
		mine *= usable / taken
	}
	return max(int(mine+g.rounding), 1)
}

func (g *gate) leave() { g.inflight-- }

// back notes that the group has answered a request in order.
func (g *gate) back() { g.down = false }
