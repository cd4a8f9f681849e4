package upstreamcheck

import (
	"fmt"
	"time"
)

// CheckLeaving returns an error if a request was sent to an upstream that leaves by a gateway that had
// passed on, longer than the drain timeout before, an answer that said so; nil if none was. told
// is when each gateway first passed one on. Times of arrivals stand for those at which callers sent.
func CheckLeaving(told map[string]time.Time, drainTimeout time.Duration, arrivals []Arrival, excused Excused) error {
	for _, a := range arrivals {
		at, ok := told[a.Gateway]
		if !ok || a.At.Sub(at) <= drainTimeout || excused != nil && excused(a.Gateway, a.At) {
			continue
		}
		return fmt.Errorf("a request came through %s %s after it had passed on that the upstream leaves", a.Gateway, a.At.Sub(at))
	}
	return nil
}
