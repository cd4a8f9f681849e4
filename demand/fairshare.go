package demand

import (
	"math"
	"slices"
)

// overShareFactor is how far above the fair share a team's requests must be for the team to count as
// over it. Counts of a few seconds vary by some percent, also where all teams ask for the same.
const overShareFactor = 1.1

// fairShare returns the max-min fair share of teams: the level at which the sum over the teams of
// min(arrived, level) is what was admitted. It is +Inf if everything was admitted.
func fairShare(arrived []float64, admitted float64) float64 {
	left := max(admitted, 0)
	ascending := slices.Sorted(slices.Values(arrived))
	for i, n := range ascending {
		even := left / float64(len(ascending)-i)
		if n > even {
			return even
		}
		left -= n
	}
	return math.Inf(1)
}

// overShare reports whether a team is over its fair share.
func overShare(arrived, level float64) bool { return arrived > overShareFactor*level }
