package gateway

import "time"

const (
	// reliefMemory is the time over which the part of long passes is taken: some streams'
	// length, so that one shift of demand, with two or three long passes, isn't enough.
	reliefMemory = 4 * time.Second
	// muchLong is the part of the time in long passes above which fewer requests run, and
	// littleLong that below which more do. A stream of two seconds that runs while a tenth of
	// the passes are long has one almost surely, and is late for it.
	muchLong   = 0.12
	littleLong = 0.04
	// reliefDown and reliefUp are how fast the part of the slots in use changes, a second: down
	// within the time that a few streams take, and up slowly, as a group that has just become
	// quick has fewer streams than it can carry.
	reliefDown = 0.10
	reliefUp   = 0.05
	// leastRelief is the least part of the slots that are used: below it the time of a
	// pass hardly depends on how many requests run.
	leastRelief = 0.5
	// heldPass is how many times the content pause a pause is no pass but a group that was
	// held, or a stream that moved: fewer requests don't change these.
	heldPass = 2.5
)

// relief is the part of the slots of a group that are used while its passes are too long for
// its callers.
//
// The load that it answers: more callers than a group can serve, for many seconds. With all slots
// in use its passes are longer than the pause that callers are content with, so that every
// stream is late. Three quarters of the streams run in passes that are a fifth shorter: a tenth
// fewer are served, and most of those in time.
type relief struct {
	cut  float64
	long float64
}

// passed takes a pass and the pause that callers are content with.
func (r *relief) passed(pass, content time.Duration) {
	if content <= 0 || float64(pass) > heldPass*float64(content) {
		return
	}
	weight := min(float64(pass)/float64(reliefMemory), 1)
	if pass > content {
		r.long += weight * (1 - r.long)
	} else {
		r.long -= weight * r.long
	}
	switch {
	case r.long > muchLong:
		r.cut = min(r.cut+reliefDown*pass.Seconds(), 1-leastRelief)
	case r.long < littleLong:
		r.cut = max(r.cut-reliefUp*pass.Seconds(), 0)
	}
}

// part is the part of the slots to use.
func (r *relief) part() float64 { return 1 - r.cut }
