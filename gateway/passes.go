package gateway

import "time"

// passesPeriod is how often the passes of a group are logged: a shift of demand is over in two
// seconds.
const passesPeriod = time.Second

// passCount counts the passes of one group, as the streams of this entry show them, for a line
// each second.
type passCount struct {
	began time.Time
	// endedAt is when the latest pass ended; pass is its time so far, content the pause that callers are content with.
	endedAt       time.Time
	pass, content time.Duration
	// n counts those that are complete, long those of them that took longer than content; longest is the longest.
	n, long int
	longest time.Duration
	sum     time.Duration
}

// passed takes the pause between two events of a stream of the group.
func (c *passCount) passed(now time.Time, pause, content time.Duration) {
	if now.Sub(c.endedAt) < pause/2 {
		c.pass = min(c.pass, pause)
		return
	}
	if c.pass > 0 {
		c.n++
		c.sum += c.pass
		c.longest = max(c.longest, c.pass)
		if c.pass > c.content {
			c.long++
		}
	}
	c.endedAt, c.pass, c.content = now, pause, content
}

// due returns what was counted, and begins anew, once a second.
func (c *passCount) due(now time.Time) (told passCount, ok bool) {
	if c.began.IsZero() {
		c.began = now
	}
	if now.Sub(c.began) < passesPeriod || c.n == 0 {
		return passCount{}, false
	}
	told = *c
	*c = passCount{began: now, endedAt: c.endedAt, pass: c.pass, content: c.content}
	return told, true
}

// mean is the mean time of the passes.
func (c *passCount) mean() time.Duration { return c.sum / time.Duration(max(c.n, 1)) }
