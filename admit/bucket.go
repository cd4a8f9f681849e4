package admit

import "time"

// bucket is a token bucket whose rate may change at any time. It starts empty:
// a share that moves between entries would otherwise bring a fresh burst along
// with every move, and the sum over the entries would exceed the limit. For the
// same reason what is saved above a lowered burst is lost at once.
type bucket struct {
	rate   float64
	burst  float64
	level  float64
	filled time.Time
}

// setRate changes the rate from a time on that is not before the last one.
func (b *bucket) setRate(at time.Time, rate, burst float64) {
	b.fill(at)
	b.rate, b.burst = rate, burst
	b.level = min(b.level, burst)
}

func (b *bucket) fill(now time.Time) {
	if b.filled.IsZero() {
		b.filled = now
	}
	if now.After(b.filled) {
		b.level = min(b.burst, b.level+b.rate*now.Sub(b.filled).Seconds())
		b.filled = now
	}
}

// rounding is the part of an amount that a sum of many small fills may lack.
const rounding = 1e-9

// take takes an amount, or says how long until it is there.
func (b *bucket) take(now time.Time, amount float64) (ok bool, wait time.Duration) {
	return b.takeFrom(now, amount, amount)
}

// takeLarge takes an amount that may be above the burst: it passes when the
// bucket is full and leaves a debt.
func (b *bucket) takeLarge(now time.Time, amount float64) (ok bool, wait time.Duration) {
	return b.takeFrom(now, amount, min(amount, b.burst))
}

func (b *bucket) takeFrom(now time.Time, amount, need float64) (ok bool, wait time.Duration) {
	b.fill(now)
	if b.rate <= 0 {
		return false, noShareWait
	}
	if b.level >= need*(1-rounding) {
		b.level -= amount
		return true, 0
	}
	if need > b.burst {
		return false, noShareWait
	}
	return false, time.Duration((need - b.level) / b.rate * float64(time.Second))
}

// noShareWait is when to come back to an entry whose share can't pass a request:
// the share may have moved by then.
const noShareWait = time.Second
