package admit

import "time"

// RequestTimeouts tracks the longest time that requests of each service may run. A lowered
// timeout takes effect only once the requests that were admitted under the longer one have
// ended: otherwise the allocator would grant their part of a concurrency limit to others while
// they still run. The zero value is ready to use.
type RequestTimeouts struct {
	services map[string]*serviceTimeout
}

type serviceTimeout struct {
	timeout time.Duration
	// past is the longest earlier timeout that running requests may still have; it counts
	// up to until.
	past  time.Duration
	until time.Time
}

// Set records the timeout of a service that is in force from now on.
func (h *RequestTimeouts) Set(now time.Time, service string, timeout time.Duration) {
	if h.services == nil {
		h.services = map[string]*serviceTimeout{}
	}
	s := h.services[service]
	if s == nil {
		h.services[service] = &serviceTimeout{timeout: timeout}
		return
	}
	s.expire(now)
	if s.timeout > s.past {
		s.past = s.timeout
	}
	if end := now.Add(grantTTL + time.Duration(float64(s.past)*maxClockRatio)); s.past > 0 && end.After(s.until) {
		s.until = end
	}
	s.timeout = timeout
}

func (s *serviceTimeout) expire(now time.Time) {
	if !now.Before(s.until) {
		s.past, s.until = 0, time.Time{}
	}
}

// Longest returns the longest time that a request of a subject may run.
func (h *RequestTimeouts) Longest(now time.Time, s Subject) time.Duration {
	longest := time.Duration(0)
	for name, svc := range h.services {
		if s.Service != "*" && s.Service != name {
			continue
		}
		svc.expire(now)
		longest = max(longest, svc.timeout, svc.past)
	}
	return longest
}
