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
	// more. Of teams that ask for 50 requests in a span each, a third exceeds the mean by a tenth by chance;
	// limiting these cost the others 20 points of requests in time beside a flood.
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

// NewShares computes the shares from the counts of a span of time.
//
// OtherTeams have no share, and what they were admitted isn't available to the others: as many small
// teams as they may stand for, none of them is held to a level.
func NewShares(list []Demand) *Shares {
	demands, admitted := map[string]float64{}, 0.0
	for _, d := range list {
		if d.Team != OtherTeams {
			demands[d.Team] += float64(d.Arrived)
			admitted += float64(d.Admitted)
		}
	}
	s := &Shares{level: Level(slices.Collect(maps.Values(demands)), admitted)}
	highest := 0.0
	for _, d := range demands {
		highest = max(highest, d)
	}
	for team, d := range demands {
		if d <= overFrom(s.level) {
			continue
		}
		if s.withinShare == nil {
			s.withinShare = map[string]float64{}
		}
		s.withinShare[team] = withinShare(d, s.level, highest)
	}
	return s
}

// withinShare returns the fraction of the requests of a team with a demand over level that counts as
// within its share, so that the team is served level requests in all. highest is the highest demand.
//
// Requests beyond the shares are served in proportion to their number, if any are. With all requests of
// all teams over their shares beyond them, a team whose callers ignore Retry-After would be served most.
// So the team with the highest demand has no request within its share, and is served level/highest
// of them; each other team has as many within its share as make up what it is served less at that ratio:
//
//	within + (demand-within) * level/highest = level
func withinShare(demand, level, highest float64) float64 {
	return level * (highest - demand) / (highest - level) / demand
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
