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
func (s *passStats) record(pass, targetGap time.Duration) {
	s.count++
	s.total += pass
	s.longest = max(s.longest, pass)
	if pass > targetGap {
		s.long++
	}
	s.targetGap = targetGap
}

// flush returns the counts and resets them, at most once per passLogInterval. ok is false if the
// interval isn't over or no pass was counted.
func (s *passStats) flush(now time.Time) (stats passStats, ok bool) {
	if s.periodStart.IsZero() {
		s.periodStart = now
	}
	if now.Sub(s.periodStart) < passLogInterval || s.count == 0 {
		return passStats{}, false
	}
	stats = *s
	*s = passStats{periodStart: now}
	return stats, true
}

func (s *passStats) mean() time.Duration { return s.total / time.Duration(max(s.count, 1)) }
