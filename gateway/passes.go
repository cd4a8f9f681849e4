package gateway

import "time"

// passesPeriod is how often the passes of a group are logged: a shift of demand is over in two
// seconds.
const passesPeriod = time.Second

// passCount counts the passes of one group, as the streams of this entry show them, for a line
// each second.
type passCount struct {
	began time.Time
	// n counts passes, long those of them that took longer than their callers are content with.
	n, long      int
	longest, sum time.Duration
	// content is the pause that callers were content with last.
	content time.Duration
}

// passed takes a pass that is over, and the pause that callers are content with.
func (c *passCount) passed(pass, content time.Duration) {
	c.n++
	c.sum += pass
	c.longest = max(c.longest, pass)
	if pass > content {
		c.long++
	}
	c.content = content
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
	*c = passCount{began: now}
	return told, true
}

// mean is the mean time of the passes.
func (c *passCount) mean() time.Duration { return c.sum / time.Duration(max(c.n, 1)) }
