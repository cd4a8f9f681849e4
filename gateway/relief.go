package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/snipereach/snipereach/wire"
)

const (
	// boundPart is the part of the content pause that the longest pass may take: what is left is for
	// the way to the caller.
	boundPart = 0.97
	// nearPart is the part of the content pause above which a pass tells how many requests would make it
	// too long. From shorter ones it is too far to guess.
	nearPart = 0.85
	// reliefMemory is how long a pass counts: four times as long as streams run.
	reliefMemory = 8 * time.Second
	// leastRelief is the least part of the slots that are used: below it the time of a
	// pass hardly depends on how many requests run.
	leastRelief = 0.5
	// heldPass is how many times the content pause a pass takes at most because of what runs: with all
	// slots in use, the highest skew and ranks that copy it is 1.45. What takes longer is a group that was
	// held, a slow rank, or a stream that moved, and fewer requests don't change these.
	heldPass = 1.5
	// reliefSteps divide the memory: the least of each is kept.
	reliefSteps = 16
	reliefStep  = reliefMemory / reliefSteps
	// streamSteps are as long as streams run.
	streamSteps = reliefSteps / 4
	// frequentSteps are between the beginnings of shifts, at most, that are answered: twice as long as streams
	// run, and one more as the first long pass comes sooner or later after a shift.
	frequentSteps = 2*streamSteps + 1
)

// relief is the part of the slots of a group that may be in use, so that its longest passes are
// in time for its callers.
//
// The load that it answers: as many callers as a group has slots for, and other experts in demand
// each two seconds. Until their copies are made a pass takes 125 to 145 ms of 120 that callers are
// content with, and one such pass makes all streams late that run, though the passes between two
// shifts are short. A pass has a fixed part, and one that grows with the requests that run; so each
// tells how many would have been in time. With these, a quarter to two fifths fewer, the passes after a
// shift are in time too: in a model of three such groups 57 in 100 streams are in time and 22 refused, in place
// of 30 and 4.
type relief struct {
	// least are the parts that the passes of each step of the memory bear, the newest last.
	least [reliefSteps]float64
	// began is when the newest step began; zero before the first.
	began time.Time
}

// passed takes a pass, the pause that callers are content with, the part of a pass that doesn't depend on
// the requests that run, and the part of the slots that were in use.
func (r *relief) passed(now time.Time, pass, content, fixed time.Duration, used float64) {
	r.turn(now)
	bound := time.Duration(boundPart * float64(content))
	near := float64(pass) > nearPart*float64(content) && float64(pass) < heldPass*float64(content)
	if !near || pass <= fixed || bound <= fixed || used < leastRelief {
		return
	}
	part := used * float64(bound-fixed) / float64(pass-fixed)
	r.least[reliefSteps-1] = min(r.least[reliefSteps-1], max(part, leastRelief))
}

// turn forgets what is older than the memory. It goes by the time that has passed, as the
// time of day may jump.
func (r *relief) turn(now time.Time) {
	if r.began.IsZero() || now.Sub(r.began) >= reliefMemory {
		for i := range r.least {
			r.least[i] = 1
		}
		r.began = now
	}
	for now.Sub(r.began) >= reliefStep {
		copy(r.least[:], r.least[1:])
		r.least[reliefSteps-1] = 1
		r.began = r.began.Add(reliefStep)
	}
}

// shift is a shift of demand that is remembered: the part that its worst passes bear, and their steps.
type shift struct {
	part        float64
	first, last int
}

// part is the part of the slots to use. It is as careful as it is likely that another shift comes while
// a stream runs: with three in memory, one in each stream's time, it is what the worst bears, and with two what the
// milder one does. After a single one those that are refused would be so for nothing, and so they would be after two
// that are far apart: the next one comes when the first is forgotten, and all slots are in use again.
func (r *relief) part(now time.Time) float64 {
	r.turn(now)
	shifts := r.shifts()
	switch n := len(shifts); {
	case !frequent(shifts):
		return 1
	case n == 2:
		return max(shifts[0].part, shifts[1].part)
	default:
		return slices.MinFunc(shifts, func(a, b shift) int { return cmp.Compare(a.part, b.part) }).part
	}
}

// shifts are those that are remembered, the oldest first. Long passes of steps beside each other are of one shift, but for
// those that go on for as long as streams run.
func (r *relief) shifts() (list []shift) {
	for i, v := range r.least {
		if v >= 1 {
			continue
		}
		if n := len(list); n > 0 && list[n-1].last == i-1 && i-list[n-1].first < streamSteps {
			list[n-1].last = i
			list[n-1].part = min(list[n-1].part, v)
			continue
		}
		list = append(list, shift{part: v, first: i, last: i})
	}
	return list
}

// frequent says whether shifts, the oldest first, come so often that several will be remembered when
// the next one comes.
func frequent(shifts []shift) bool {
	n := len(shifts)
	return n > 1 && shifts[n-1].first-shifts[n-2].first <= frequentSteps && reliefSteps-1-shifts[n-1].first <= frequentSteps
}

// fixedPass is the part of a pass that doesn't depend on the requests that run; 0 if the profile doesn't tell.
func fixedPass(e *wire.EngineProfile) time.Duration {
	return time.Duration(float64(e.GetStride()) * e.GetStepMs() * float64(time.Millisecond))
}
