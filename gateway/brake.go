package gateway

import "time"

const (
	// easyPart is the part of the pause that callers are content with up to which passes
	// leave room for prompts, and fullPart that from which they leave none.
	easyPart = 0.75
	fullPart = 0.95
	// longPart is the part of that pause up to which a pass that goes on is never long, and
	// longerFactor how many times as long as the latest one it must take.
	longPart     = 0.62
	longerFactor = 1.25
	// mostBrake is how long requests are kept back at most: a shift of demand is answered
	// by copies in 0.4 to 0.6 s, and passes that are still long after that are so for
	// another reason, which fewer requests don't change.
	mostBrake = 700 * time.Millisecond
	// staleBrake is the age at which the latest pass tells nothing any more.
	staleBrake = 300 * time.Millisecond
)

// brake says how many new requests a group can take, by how long its passes are.
//
// The load that it answers: other experts come into demand, and until they are copied the
// busiest rank has three times its share. The next pass takes 110 ms in place of 55, and
// the one after it 130, as it also reads what has come meanwhile. One that is longer than
// the pause that callers are content with makes all streams late that run, a hundred at
// once. A sixth of such a pass is the reading of new prompts: those that are kept back are
// late for their first event at worst, and a fifth as many.
type brake struct {
	// pass is the latest pass, before the one before it.
	pass, before time.Duration
	// content is the pause that callers are content with; 0 if it isn't known.
	content time.Duration
	// at is when the latest pass ended.
	at time.Time
	// fullSince is since when passes leave no room; zero if they do.
	fullSince time.Time
}

// passed takes the pause between two events of a stream, and the one that its caller is
// content with. All streams of a group have an event at the end of each pass; one that
// moved between upstreams has a longer pause, so the shortest tells the pass.
//
// It returns whether the pause begins another pass.
func (b *brake) passed(now time.Time, pause, content time.Duration) (another bool) {
	if content <= 0 {
		return false
	}
	if now.Sub(b.at) < pause/2 {
		b.pass = min(b.pass, pause)
	} else {
		b.before, b.pass, b.at, b.content = b.pass, pause, now, content
		another = true
	}
	switch full := b.fill() >= fullPart; {
	case !full:
		b.fullSince = time.Time{}
	case b.fullSince.IsZero():
		b.fullSince = now
	}
	return another
}

// fill is the part of the content pause that the next pass is expected to take: it grows
// as the last one did, if that was more than passes differ by anyway.
func (b *brake) fill() float64 {
	next := b.pass
	if b.before > 0 && float64(b.pass) > longerFactor*float64(b.before) {
		next += b.pass - b.before
	}
	return float64(next) / float64(b.content)
}

// room is the part of the usual number of new requests that the group can take now, from
// 0 to 1.
func (b *brake) room(now time.Time) float64 {
	if b.content == 0 || !b.fullSince.IsZero() && now.Sub(b.fullSince) > mostBrake {
		return 1
	}
	switch sofar := now.Sub(b.at); {
	case sofar > staleBrake:
		// No stream of this entry runs, or the group stands still.
		return 1
	case float64(sofar) > max(longPart*float64(b.content), longerFactor*float64(b.pass)):
		return 0
	}
	return min(max((fullPart-b.fill())/(fullPart-easyPart), 0), 1)
}
