package admit

import "math"

// Amounts are the three measures of a limit; +Inf is no limit.
type Amounts struct {
	// Requests and Tokens are per second.
	Requests, Tokens float64
	// Concurrent requests in progress.
	Concurrent float64
}

// Unlimited is no limit at all.
var Unlimited = Amounts{math.Inf(1), math.Inf(1), math.Inf(1)}

func (a Amounts) add(b Amounts) Amounts {
	return Amounts{a.Requests + b.Requests, a.Tokens + b.Tokens, a.Concurrent + b.Concurrent}
}

func requestsOf(a Amounts) float64   { return a.Requests }
func tokensOf(a Amounts) float64     { return a.Tokens }
func concurrentOf(a Amounts) float64 { return a.Concurrent }

// maxDemand is more than any limit.
const maxDemand = 1e15

// sane keeps what is no amount out of the sums that are divided by.
func (a Amounts) sane() Amounts {
	return Amounts{saneAmount(a.Requests), saneAmount(a.Tokens), saneAmount(a.Concurrent)}
}

func saneAmount(v float64) float64 {
	if v > 0 {
		return min(v, maxDemand)
	}
	return 0
}

// Floor is what each entry of a ring of n may use without a grant.
func Floor(limit Amounts, n int) Amounts {
	if n < 1 {
		return Amounts{}
	}
	part := FloorPart / float64(2*n)
	a := Amounts{Tokens: limit.Tokens * part}
	if limit.Requests >= FloorFrom {
		a.Requests = limit.Requests * part
	}
	if limit.Concurrent >= FloorFrom {
		a.Concurrent = math.Floor(limit.Concurrent * part)
	}
	return a
}

// pool is the part of a limit that is granted.
func pool(limit Amounts) Amounts {
	return Amounts{
		Requests:   granted(limit.Requests),
		Tokens:     limit.Tokens * (1 - FloorPart),
		Concurrent: math.Floor(granted(limit.Concurrent)),
	}
}

// granted never falls as the limit grows, also where floors begin: an entry and
// a home that know different versions of a row stay within the larger of the two.
func granted(limit float64) float64 {
	if limit >= FloorFrom {
		return limit * (1 - FloorPart)
	}
	return min(limit, FloorFrom*(1-FloorPart))
}

// burstPool is how many requests all grants of a limit may save up together. With
// the floors' part it is at most a second's worth, or one request if the limit is
// less than one a second. Like granted, it never falls as the limit grows.
func burstPool(limit float64) float64 {
	perSecond := limit * burstTime.Seconds()
	if limit >= FloorFrom {
		return perSecond * (1 - FloorBurst)
	}
	return min(max(perSecond, 1), FloorFrom*burstTime.Seconds()*(1-FloorBurst))
}

// floorBurst is how many requests a floor may save up.
func floorBurst(limit float64, n int) float64 {
	if n < 1 || limit < FloorFrom {
		return 0
	}
	return limit * burstTime.Seconds() * FloorBurst / float64(2*n)
}

// burst is what an entry may save up with its part of a granted pool.
func burst(limit, share float64) float64 {
	if math.IsInf(limit, 1) {
		return 0
	}
	return share * burstPool(limit) / granted(limit)
}

// requestUnit is the least share of a limit that can save up one request.
func requestUnit(limit float64) float64 {
	return granted(limit) / burstPool(limit)
}

// finite stands in for values that JSON can't carry: -1 is no limit.
func finite(v float64) float64 {
	if math.IsInf(v, 0) || math.IsNaN(v) {
		return -1
	}
	return v
}
