package admit

import "time"

// bucket is a token bucket whose rate may change at any time. It starts empty:
// a share that moves between entries would otherwise bring a fresh burst along
// with every move, and the sum over the entries would exceed the limit.
type bucket struct {
	rate   float64
	burst  float64
	level  float64
	filled time.Time
}

// setRate changes the rate; the level gathered so far stays.
func (b *bucket) setRate(now time.Time, rate, burst float64) {
	b.fill(now)
	b.rate, b.burst = rate, burst
}

func (b *bucket) fill(now time.Time) {
	if !b.filled.IsZero() && now.After(b.filled) {
		b.level = min(b.burst, b.level+b.rate*now.Sub(b.filled).Seconds())
	}
	if b.filled.IsZero() || now.After(b.filled) {
		b.filled = now
	}
}

// take takes an amount, or says how long until it is there. An amount above the
// burst passes when the bucket is full and leaves a debt.
func (b *bucket) take(now time.Time, amount float64) (ok bool, wait time.Duration) {
	b.fill(now)
	need := min(amount, b.burst)
	if b.level >= need && b.rate > 0 {
		b.level -= amount
		return true, 0
	}
	if b.rate <= 0 {
		return false, time.Second
	}
	return false, time.Duration((need - b.level) / b.rate * float64(time.Second))
}
