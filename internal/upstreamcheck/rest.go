package upstreamcheck

import (
	"fmt"
	"time"
)

// Bounds of the rule about rests.
const (
	// RestGrace is how long after a refusal that asked for rest the rule begins to hold.
	RestGrace = 500 * time.Millisecond
	// RestRequests is how many requests may come until the end of the rest.
	RestRequests = 2
)

// Refusal is an answer of an upstream that has refused a gateway and asked it for rest.
type Refusal struct {
	At      time.Time
	Gateway string
	Rest    time.Duration
}

// CheckRests returns the first rest in which more requests of its gateway than allowed have come, or
// nil. Requests that come while their gateway is excused don't count.
func CheckRests(refusals []Refusal, arrivals []Arrival, excused Excused) error {
	for _, r := range refusals {
		count := 0
		for _, a := range arrivals {
			since := a.At.Sub(r.At)
			if a.Gateway != r.Gateway || since < RestGrace || since >= r.Rest {
				continue
			}
			if excused == nil || !excused(a.Gateway, a.At) {
				count++
			}
		}
		if count > RestRequests {
			return fmt.Errorf("%d requests from %s in the %s of rest that it was asked for; allowed %d", count, r.Gateway, r.Rest, RestRequests)
		}
	}
	return nil
}
