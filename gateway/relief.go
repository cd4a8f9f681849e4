package gateway

import "time"

const (
	// calmPart is the part of the content pause below which a pass leaves room for more
	// requests; between that and the pause itself the part of the slots stays as it is.
	calmPart = 0.85
	// reliefRate is how fast the part of the slots in use changes, a second. A shift of demand,
	// with two long passes each three seconds, changes it by a fiftieth, and a crowd that
	// makes passes long for three seconds by a third, which is given back in as long.
	reliefRate = 0.10
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
	// cut is the part of the slots that isn't used.
	cut float64
}

// passed takes a pass and the pause that callers are content with.
func (r *relief) passed(pass, content time.Duration) {
	switch {
	case content <= 0 || float64(pass) > heldPass*float64(content):
	case pass > content:
		r.cut = min(r.cut+reliefRate*pass.Seconds(), 1-leastRelief)
	case float64(pass) < calmPart*float64(content):
		r.cut = max(r.cut-reliefRate*pass.Seconds(), 0)
	}
}

// part is the part of the slots to use.
func (r *relief) part() float64 { return 1 - r.cut }
