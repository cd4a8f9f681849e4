package demand

import "slices"

// overShareFactor is how far above the fair share a team's requests must be for the team to count as
// over it. Teams at their fair share vary by some percent from one report to the next.
const overShareFactor = 1.1

// fairShare returns the max-min fair share of teams: the level at which the sum over the teams of
// min(arrived, level) is what was admitted. If everything was admitted, limited is false and the level
// is the highest number of arrivals.
func fairShare(arrived []float64, admitted float64) (level float64, limited bool) {
	ascending := slices.Sorted(slices.Values(arrived))
	left := max(admitted, 0)
	for i, n := range ascending {
		teams := float64(len(ascending) - i)
		if n*teams > left {
			return left / teams, true
		}
		left -= n
		level = n
	}
	return level, false
}

// overShare reports whether a team is over its fair share.
func overShare(arrived, level float64) bool { return arrived > overShareFactor*level }
