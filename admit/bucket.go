package admit

import "time"

// bucket is a token bucket whose rate may change at any time. It starts empty, and tokens
// above a lowered burst are dropped at once: otherwise every share that moves between
// entries would bring a fresh burst along, and the entries together would exceed the limit.
type bucket struct {
	rate       float64
	burst      float64
	level      float64
	lastRefill time.Time // time of the last refill
}

// setRate changes the rate and the burst as of at, which must not be before the last
// refill.
func (b *bucket) setRate(at time.Time, rate, burst float64) {
	b.refill(at)
	b.rate, b.burst = rate, burst
	b.level = min(b.level, burst)
}

func (b *bucket) refill(now time.Time) {
	if b.lastRefill.IsZero() {
		b.lastRefill = now
	}
	if now.After(b.lastRefill) {
		b.level = min(b.burst, b.level+b.rate*now.Sub(b.lastRefill).Seconds())
		b.lastRefill = now
	}
}

// roundingTolerance is the relative error of a sum of many small refills.
const roundingTolerance = 1e-9

// take removes an amount from the bucket, or returns how long until it is available.
func (b *bucket) take(now time.Time, amount float64) (ok bool, wait time.Duration) {
	return b.takeFrom(now, amount, amount)
}

// takeLarge removes an amount that may exceed the burst. Such an amount is taken when the
// bucket is full, and the level becomes negative.
func (b *bucket) takeLarge(now time.Time, amount float64) (ok bool, wait time.Duration) {
	return b.takeFrom(now, amount, min(amount, b.burst))
}

func (b *bucket) takeFrom(now time.Time, amount, need float64) (ok bool, wait time.Duration) {
	b.refill(now)
	if b.rate <= 0 {
		return false, noShareRetryDelay
	}
	if b.level >= need*(1-roundingTolerance) {
		b.level -= amount
		return true, 0
	}
	if need > b.burst {
		return false, noShareRetryDelay
	}
	return false, time.Duration((need - b.level) / b.rate * float64(time.Second))
}

// noShareRetryDelay is when to retry at an entry whose share is too small for the request;
// the share may have grown by then.
const noShareRetryDelay = time.Second
