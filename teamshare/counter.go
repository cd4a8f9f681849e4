package teamshare

import "time"

const (
	// windowLength is the length of a window of counts, and windows the number of those that a report
	// covers. The newest is still being filled.
	windowLength = time.Second
	windows      = 5
	// Span is how far back a report looks.
	Span = windows * windowLength
	// reportInterval is how often a gateway reports a contended service.
	reportInterval = time.Second
)

// Counter counts the requests of one service in windows of time. A request is counted in the window of
// each event. It isn't safe for concurrent use.
type Counter struct {
	ring [windows]window
}

// window holds the counts of one window.
type window struct {
	// number is that of the window since the epoch of the clock.
	number int64
	sums   sums
}

func windowNumber(now time.Time) int64 { return now.UnixNano() / int64(windowLength) }

// Arrived counts a request that has arrived.
func (c *Counter) Arrived(now time.Time, team string, priority uint32) {
	c.at(now, team, priority).Arrived++
}

// Admitted counts a request that was admitted.
func (c *Counter) Admitted(now time.Time, team string, priority uint32) {
	c.at(now, team, priority).Admitted++
}

// Refused counts a request that was refused.
func (c *Counter) Refused(now time.Time, team string, priority uint32, cause string) {
	c.at(now, team, priority).refuse(cause, 1)
}

// at returns the counts of a team and priority in the window of now. The first teams of each window are
// counted by themselves. A team with many requests is soon among them, whichever were counted before.
func (c *Counter) at(now time.Time, team string, priority uint32) *Demand {
	number := windowNumber(now)
	w := &c.ring[number%windows]
	if w.sums.byTeam == nil || w.number != number {
		// A new map instead of an emptied one, which would keep the size of the largest window.
		w.number, w.sums = number, sums{byTeam: map[string][]Demand{}}
	}
	// Replicas refuse a report with a longer name, and with it the counts of all other teams.
	if _, known := w.sums.byTeam[team]; len(team) > maxNameBytes || !known && len(w.sums.byTeam) >= MaxTeams {
		team = OtherTeams
	}
	return w.sums.of(team, priority)
}

// Recent returns the counts of the last Span for at most MaxTeams teams.
func (c *Counter) Recent(now time.Time) []Demand {
	all, number := newSums(), windowNumber(now)
	for i := range c.ring {
		if w := &c.ring[i]; w.number > number-windows && w.number <= number {
			for _, list := range w.sums.byTeam {
				all.add(list)
			}
		}
	}
	return all.list(MaxTeams)
}
