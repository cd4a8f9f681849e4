package lockstep

import "time"

const (
	// slowHold is the time from the order to hold a group until all its ranks are armed from which
	// a hold is slow. It is 35 to 80 ms while ranks answer their orders; with the pass that ends
	// meanwhile, a slow one makes a pause that is too long for running streams.
	slowHold = 100 * time.Millisecond
	// slowHoldMemory is how long after a slow hold the next one is expected to be slow too. Orders
	// that are lost or answered late are so for seconds.
	slowHoldMemory = 5 * time.Second
	// minGainWithSlowHolds is the reduction of the skew that is worth a slow hold. A shift of demand
	// is worth it; the small improvements that follow make passes shorter by a tenth at most.
	minGainWithSlowHolds = 0.4
)

// HoldCost tells whether a switch is worth the pause that its hold makes.
//
// It guards against a pause of all streams for a small improvement, while ranks answer orders late.
type HoldCost struct {
	last    time.Duration
	endedAt time.Time
}

// Record records how long a hold took until all ranks were armed.
func (c *HoldCost) Record(now time.Time, d time.Duration) { c.last, c.endedAt = d, now }

// Allows reports whether a switch that reduces the skew by gain is worth its hold.
func (c *HoldCost) Allows(now time.Time, gain float64) bool {
	slow := c.last >= slowHold && now.Sub(c.endedAt) < slowHoldMemory
	return !slow || gain >= minGainWithSlowHolds
}
