package admit

import "time"

// Holds knows how long requests of each service may run. A timeout that was
// lowered counts until the requests that were admitted under it have ended: a
// home that went by the row alone would give their part of a concurrent limit to
// others while they run. The zero value is ready to use.
type Holds struct {
	services map[string]*serviceHold
}

type serviceHold struct {
	timeout time.Duration
	// past is the longest timeout that requests in progress may have, up to until.
	past  time.Duration
	until time.Time
}

// Set puts a service's timeout in force.
func (h *Holds) Set(now time.Time, service string, timeout time.Duration) {
	if h.services == nil {
		h.services = map[string]*serviceHold{}
	}
	s := h.services[service]
	if s == nil {
		h.services[service] = &serviceHold{timeout: timeout}
		return
	}
	s.settle(now)
	if s.timeout > s.past {
		s.past = s.timeout
	}
	if end := now.Add(homeTTL + time.Duration(float64(s.past)*clockRatio)); s.past > 0 && end.After(s.until) {
		s.until = end
	}
	s.timeout = timeout
}

func (s *serviceHold) settle(now time.Time) {
	if !now.Before(s.until) {
		s.past, s.until = 0, time.Time{}
	}
}

// Of returns the longest time that a request of a subject may run.
func (h *Holds) Of(now time.Time, s Subject) time.Duration {
	longest := time.Duration(0)
	for name, svc := range h.services {
		if s.Service != "*" && s.Service != name {
			continue
		}
		svc.settle(now)
		longest = max(longest, svc.timeout, svc.past)
	}
	return longest
}
