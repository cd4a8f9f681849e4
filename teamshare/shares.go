package teamshare

import (
	"maps"
	"math"
	"slices"
)

const (
	// overMargin is how much a team's demand must exceed the fair level for the team to be over its share.
	overMargin = 1.1
	// overDeviations is by how many standard deviations it must exceed the level in addition, where that is
	// more. Of teams that ask for 50 requests in a span each, a third exceeds the mean by a tenth by chance.
	overDeviations = 3
)

// overFrom returns the demand above which a team is over its share.
func overFrom(level float64) float64 {
	return max(overMargin*level, level+overDeviations*math.Sqrt(level))
}

// Level returns the max-min fair level of demands: that at which the sum of min(demand, level) equals
// capacity. It is +Inf if capacity suffices for all demands.
func Level(demands []float64, capacity float64) float64 {
	left := max(capacity, 0)
	sorted := slices.Sorted(slices.Values(demands))
	for i, d := range sorted {
		if even := left / float64(len(sorted)-i); d > even {
			return even
		}
		left -= d
	}
	return math.Inf(1)
}

// Shares are the fair shares of the teams that ask for a service. They don't change.
type Shares struct {
	level float64
	// withinShare has the fraction of their requests that is within the share, of the teams over it.
	withinShare map[string]float64
}

// teamCounts are the requests of a team over all priorities.
type teamCounts struct{ arrived, refused, admitted float64 }

// demand returns how many callers have asked, if each that is refused at first asks once more. Requests
// that come again aren't demand: with them, a team that is limited by chance asks for more than the others
// for as long as it is limited, and so stays limited.
func (c teamCounts) demand() float64 {
	if c.arrived == 0 {
		return 0
	}
	return c.arrived / (1 + min(c.refused/c.arrived, 1))
}

// NewShares computes the shares from the counts of a span of time.
//
// OtherTeams have no share, and what they were admitted isn't available to the others: as many small
// teams as they may stand for, none of them is held to a level.
func NewShares(list []Demand) *Shares {
	teams := map[string]teamCounts{}
	for _, d := range list {
		if d.Team != OtherTeams {
			c := teams[d.Team]
			c.arrived += float64(d.Arrived)
			c.refused += float64(d.Refused)
			c.admitted += float64(d.Admitted)
			teams[d.Team] = c
		}
	}
	var demands []float64
	admitted := 0.0
	for _, c := range teams {
		demands = append(demands, c.demand())
		admitted += c.admitted
	}
	s := &Shares{level: Level(demands, admitted)}
	if s.level == 0 {
		// Nothing was admitted, so nothing is known of how much can be.
		return s
	}
	excess := 0.0
	maps.DeleteFunc(teams, func(_ string, c teamCounts) bool {
		d := c.demand()
		if d > overFrom(s.level) {
			return false
		}
		excess += max(d-s.level, 0)
		return true
	})
	s.limit(teams, excess)
	return s
}

// limit sets which requests of the teams over their shares are within them. excess is what the other teams
// ask for above the level. It is taken of what is left for the teams over their shares, and so given to these.
func (s *Shares) limit(over map[string]teamCounts, excess float64) {
	highest, taken := 0.0, min(excess/(float64(len(over))*s.level), 1)
	for _, c := range over {
		highest = max(highest, c.arrived)
	}
	if len(over) > 0 {
		s.withinShare = make(map[string]float64, len(over))
	}
	for team, c := range over {
		within := withinShare(c.arrived, s.level, highest)
		s.withinShare[team] = within + (s.level/c.arrived-within)*taken
	}
}

// withinShare returns the fraction of the requests of a team over its share that counts as within it, so that
// the team is served level requests in all. highest is the highest number of requests of such a team.
//
// Requests beyond the shares are served in proportion to their number, if any are. With all requests of
// all teams over their shares beyond them, a team whose callers ignore Retry-After would be served most.
// So the team with the most requests has none within its share, and is served level/highest of them;
// each other team has as many within its share as make up for what it is served less at that ratio:
//
//	within + (arrived-within) * level/highest = level
func withinShare(arrived, level, highest float64) float64 {
	return level * (highest - arrived) / (highest - level) / arrived
}

// scale multiplies the level, which is for showing, with what the counts were scaled down by.
func (s *Shares) scale(factor int) { s.level *= float64(max(factor, 1)) }

// Level returns the fair level in requests a span; +Inf if all requests are admitted.
func (s *Shares) Level() float64 { return s.level }

// Over reports whether a team is over its share.
func (s *Shares) Over(team string) bool {
	_, over := s.withinShare[team]
	return over
}

// Teams returns the teams that are over their share, sorted.
func (s *Shares) Teams() []string { return slices.Sorted(maps.Keys(s.withinShare)) }

// Beyond reports whether a request of a team is beyond the team's share. random is a random number from 0
// up to 1, as it doesn't matter which of a team's requests are.
func (s *Shares) Beyond(team string, random float64) bool {
	within, over := s.withinShare[team]
	return over && random >= within
}
