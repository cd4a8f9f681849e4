package admit

import "math"

// Amounts holds a value for each measure of a limit. +Inf means unlimited.
type Amounts struct {
	// Requests and Tokens are per second.
	Requests, Tokens float64
	// Concurrent is a number of requests in progress.
	Concurrent float64
}

var Unlimited = Amounts{math.Inf(1), math.Inf(1), math.Inf(1)}

func (a Amounts) add(b Amounts) Amounts {
	return Amounts{a.Requests + b.Requests, a.Tokens + b.Tokens, a.Concurrent + b.Concurrent}
}

func requestsOf(a Amounts) float64   { return a.Requests }
func tokensOf(a Amounts) float64     { return a.Tokens }
func concurrentOf(a Amounts) float64 { return a.Concurrent }

// maxDemand caps reported demands; it is larger than any limit.
const maxDemand = 1e15

// sanitized returns a with NaN and negative values replaced by 0 and large ones capped, so
// that a faulty report can't corrupt the totals that limits are divided by.
func (a Amounts) sanitized() Amounts {
	return Amounts{sanitizeAmount(a.Requests), sanitizeAmount(a.Tokens), sanitizeAmount(a.Concurrent)}
}

func sanitizeAmount(v float64) float64 {
	if v > 0 {
		return min(v, maxDemand)
	}
	return 0
}

// Floor returns what each entry of a ring of n may use without a grant.
func Floor(limit Amounts, n int) Amounts {
	if n < 1 {
		return Amounts{}
	}
	fraction := FloorFraction / float64(2*n)
	a := Amounts{Tokens: limit.Tokens * fraction}
	if limit.Requests >= MinLimitWithFloor {
		a.Requests = limit.Requests * fraction
	}
	if limit.Concurrent >= MinLimitWithFloor {
		a.Concurrent = math.Floor(limit.Concurrent * fraction)
	}
	return a
}

// grantable returns the part of a limit that is granted as shares; the rest is for floors.
func grantable(limit Amounts) Amounts {
	return Amounts{
		Requests:   grantableAmount(limit.Requests),
		Tokens:     limit.Tokens * (1 - FloorFraction),
		Concurrent: math.Floor(grantableAmount(limit.Concurrent)),
	}
}

// grantableAmount never decreases as the limit grows, also at MinLimitWithFloor: an entry and
// the allocator that know different versions of a limit stay within the larger one.
func grantableAmount(limit float64) float64 {
	if limit >= MinLimitWithFloor {
		return limit * (1 - FloorFraction)
	}
	return min(limit, MinLimitWithFloor*(1-FloorFraction))
}

// grantableBurst returns how many requests all grants of a limit together may accumulate.
// With the burst of the floors it is at most one second's worth, or one request if the
// limit is below one per second. Like grantableAmount, it never decreases as the limit
// grows.
func grantableBurst(limit float64) float64 {
	perSecond := limit * burstTime.Seconds()
	if limit >= MinLimitWithFloor {
		return perSecond * (1 - FloorBurstFraction)
	}
	return min(max(perSecond, 1), MinLimitWithFloor*burstTime.Seconds()*(1-FloorBurstFraction))
}

// floorBurst returns how many requests the floor of one entry may accumulate in a ring of
// n.
func floorBurst(limit float64, n int) float64 {
	if n < 1 || limit < MinLimitWithFloor {
		return 0
	}
	return limit * burstTime.Seconds() * FloorBurstFraction / float64(2*n)
}

// shareBurst returns how many requests an entry may accumulate with its share of a limit.
func shareBurst(limit, share float64) float64 {
	if math.IsInf(limit, 1) {
		return 0
	}
	return share * grantableBurst(limit) / grantableAmount(limit)
}

// minRequestShare returns the smallest share of a limit whose burst holds one request.
func minRequestShare(limit float64) float64 {
	return grantableAmount(limit) / grantableBurst(limit)
}

// finite returns v, or -1 for infinities and NaN, which JSON can't represent.
func finite(v float64) float64 {
	if math.IsInf(v, 0) || math.IsNaN(v) {
		return -1
	}
	return v
}
