package lockstep

import "time"

const (
	// defaultMaxReadingAge is above the usual age of the newest reading, 75 to 130 ms, and below
	// that of a rank whose sidecar doesn't answer.
	defaultMaxReadingAge = 250 * time.Millisecond
	// defaultMaxHoldDelay allows for the restart of a sidecar. Demand isn't balanced meanwhile, so
	// a rank that stays late doesn't prevent the switch.
	defaultMaxHoldDelay = 2 * time.Second
)

// HoldDelay describes why and since when the hold of a switch was delayed.
type HoldDelay struct {
	// Rank is the rank with the oldest reading when the delay began, and ReadingAge the age of
	// that reading.
	Rank       int
	ReadingAge time.Duration
	Since      time.Time
}

// HoldDelay returns the delay of the latest switch's hold; ok is false if it wasn't delayed.
func (s *Switcher) HoldDelay() (d HoldDelay, ok bool) {
	return s.holdDelay, !s.holdDelay.Since.IsZero()
}

// mayHold reports whether the group may be held for a switch that all ranks have prepared.
//
// A rank whose newest reading is old would also respond late to orders, and the group would be
// held until it is armed. As nothing is held yet, waiting for the rank costs no pause. The
// reading is old as well if the relay through which the rank is read doesn't respond.
func (s *Switcher) mayHold(now time.Time) bool {
	if s.preparedAt.IsZero() {
		s.preparedAt = now
	}
	rank, age := s.oldestReading(now)
	if age <= s.cfg.MaxReadingAge || now.Sub(s.preparedAt) >= s.cfg.MaxHoldDelay || s.cfg.disabled.delayHold {
		return true
	}
	if s.holdDelay.Since.IsZero() {
		s.holdDelay = HoldDelay{Rank: rank, ReadingAge: age, Since: now}
	}
	return false
}

// holdAwaitsRank reports whether the hold is delayed and awaits a newer reading of a rank.
func (s *Switcher) holdAwaitsRank(now time.Time, i int) bool {
	return !s.holdDelay.Since.IsZero() && s.readingAge(now, i) > s.cfg.MaxReadingAge
}

// oldestReading returns the rank whose newest reading is the oldest, and the age of that reading.
func (s *Switcher) oldestReading(now time.Time) (rank int, age time.Duration) {
	for i := range s.ranks {
		if a := s.readingAge(now, i); a > age {
			rank, age = i, a
		}
	}
	return rank, age
}

// readingAge returns the age of the newest reading of a rank, which must have been read.
func (s *Switcher) readingAge(now time.Time, i int) time.Duration {
	return now.Sub(s.ranks[i].reportAt)
}
