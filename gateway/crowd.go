package gateway

import "time"

const (
	// downWait is when a caller may come back whose group is down: one forms again in
	// about a second once its rank is there.
	downWait = 1500 * time.Millisecond
	// fullWait is the same for a full service, which has free slots all the time, and
	// crowdWait where nearly all are refused: callers of the longest requests wait a
	// little more than that at most.
	fullWait  = 600 * time.Millisecond
	crowdWait = 2500 * time.Millisecond
	// refusedWeight is that of one request in the part that is refused: some twenty
	// requests, two seconds of one entry, make the estimate.
	refusedWeight = 0.05
)

// crowd says when callers that find no slot may come back. The more are refused the
// later: one that comes back into the same crowd is refused once more.
type crowd struct {
	// refused is the smoothed part of the requests that found no slot.
	refused float64
}

// admit counts a request that is sent.
func (c *crowd) admit() { c.refused -= refusedWeight * c.refused }

// turnAway counts a request that is refused, and is when its caller may come back.
func (c *crowd) turnAway() time.Duration {
	c.refused += refusedWeight * (1 - c.refused)
	return c.comeBack()
}

func (c *crowd) comeBack() time.Duration {
	return fullWait + time.Duration(c.refused*float64(crowdWait-fullWait))
}
