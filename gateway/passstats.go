package gateway

import "time"

// passLogInterval is how often the passes of a group are logged.
const passLogInterval = time.Second

// passStats counts the passes of one group, as this gateway's streams show them, for a log line
// per passLogInterval.
type passStats struct {
	periodStart time.Time
	// count is the number of passes, long that of passes longer than the target gap.
	count, long    int
	longest, total time.Duration
	// targetGap is the target gap of the last pass.
	targetGap time.Duration
}

// record adds a completed pass.
func (c *passStats) record(pass, content time.Duration) {
	c.count++
	c.total += pass
	c.longest = max(c.longest, pass)
	if pass > content {
		c.long++
	}
	c.targetGap = content
}

// flush returns the counts and resets them, at most once per passLogInterval. ok is false if the
// interval isn't over or no pass was counted.
func (c *passStats) flush(now time.Time) (told passStats, ok bool) {
	if c.periodStart.IsZero() {
		c.periodStart = now
	}
	if now.Sub(c.periodStart) < passLogInterval || c.count == 0 {
		return passStats{}, false
	}
	told = *c
	*c = passStats{periodStart: now}
	return told, true
}

func (c *passStats) mean() time.Duration { return c.total / time.Duration(max(c.count, 1)) }
