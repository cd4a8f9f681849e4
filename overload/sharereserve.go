package overload

import (
	"math"
	"time"
)

const (
	// maxReservedRanks bounds the ranks that are counted. Less urgent ones are counted with the last.
	maxReservedRanks = 10
	// reserveDeviations is how many standard deviations of the expected requests are reserved in
	// addition, as these don't arrive evenly. More would refuse requests that could be served.
	reserveDeviations = 1.0
)

// ShareReserve tells how many slots requests beyond the share of their team leave free for the other
// requests of their rank. The zero value is ready.
//
// The order of the queue alone doesn't protect the others: a team with many requests takes each slot as
// soon as it becomes free, and the others find none for as long as they may wait.
type ShareReserve struct {
	// arrived counts the requests of each rank that are within the shares of their teams.
	arrived [maxReservedRanks]decayingCount
}

func (r *ShareReserve) of(rank uint32) *decayingCount {
	return &r.arrived[min(rank, maxReservedRanks-1)]
}

// RecordArrival counts the arrival of a request that is within the share of its team.
func (r *ShareReserve) RecordArrival(now time.Time, rank uint32) { r.of(rank).add(now) }

// Reserved returns how many slots a request of a rank that is beyond its team's share leaves free. It is a
// fraction where requests are few.
func (r *ShareReserve) Reserved(now time.Time, rank uint32) float64 {
	expected := r.of(rank).perSecond(now) * reserveTime.Seconds()
	return expected + reserveDeviations*math.Sqrt(expected)
}
