package upstreamcheck

import (
	"fmt"
	"time"
)

// Bounds of the rules about parts of prompts that crash upstreams.
const (
	// PartCrashes is the number of crashes after which requests with the part are counted.
	PartCrashes = 5
	// MaxRequestsAfter is how many of them may still reach upstreams.
	MaxRequestsAfter = 3
	// LeastBegun is the least fraction of the usual rate at which sound requests must begin at the first
	// attempt.
	LeastBegun = 0.5
	// MinCounted is the number of sound requests from which on they are judged.
	MinCounted = 20
)

// CheckPart returns an error if more than MaxRequestsAfter requests with a part reached upstreams later than
// the contact window after the part's fifth crash; nil otherwise. New requests and repeats count alike.
func CheckPart(crashes []time.Time, arrivals []Arrival, contactWindow time.Duration, excused Excused) error {
	if len(crashes) < PartCrashes {
		return nil
	}
	from := crashes[PartCrashes-1].Add(contactWindow)
	late := 0
	for _, a := range arrivals {
		if a.At.After(from) && (excused == nil || !excused(a.Gateway, a.At)) {
			late++
		}
	}
	if late > MaxRequestsAfter {
		return fmt.Errorf("%d requests reached upstreams later than %s after crash %d; %d crashes in all", late, contactWindow, PartCrashes, len(crashes))
	}
	return nil
}

// Begun counts requests and those of them that began at their first attempt.
type Begun struct{ Sent, Begun int }

// rate returns the part that began; 0 if none was sent.
func (b Begun) rate() float64 {
	if b.Sent == 0 {
		return 0
	}
	return float64(b.Begun) / float64(b.Sent)
}

// CheckSound returns an error if sound requests began less than half as often while requests with a part that
// crashes upstreams come as they do otherwise; nil if they don't, or are too few to tell.
func CheckSound(usual, meanwhile Begun) error {
	if usual.Sent < MinCounted || meanwhile.Sent < MinCounted || meanwhile.rate() >= LeastBegun*usual.rate() {
		return nil
	}
	return fmt.Errorf("%d of %d sound requests began at the first attempt, %d of %d otherwise", meanwhile.Begun, meanwhile.Sent, usual.Begun, usual.Sent)
}
