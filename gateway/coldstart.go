package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/snipereach/snipereach/quota"
	"github.com/snipereach/snipereach/wire"
)

// coldLimit bounds the requests to one cold upstream of a service.
type coldLimit struct {
	// requests may be sent by all gateways together in each window; 0 is unlimited.
	requests int
	window   time.Duration
	// start is how long an upstream is cold after its start.
	start time.Duration
}

// newColdLimit returns the limit of a service. A rate below one request a second becomes one
// request in a longer window.
func newColdLimit(s *wire.RoutedService) coldLimit {
	if s.GetColdPerS() <= 0 {
		return coldLimit{}
	}
	return coldLimit{
		requests: max(int(s.ColdPerS), 1),
		window:   max(time.Second, time.Duration(float64(time.Second)/s.ColdPerS)),
		start:    time.Duration(s.ColdStartMs) * time.Millisecond,
	}
}

// coldUpstreams limits the requests of this gateway to the cold upstreams of one service. A cold
// upstream that gets many more requests than it bears crashes.
//
// The gateways don't ask each other: each upstream's limit is divided into whole requests among
// those that are up. Which of them have one more, or any, differs between upstreams.
type coldUpstreams struct {
	limit coldLimit
	byID  map[string]*coldUpstream
}

type coldUpstream struct {
	until time.Time
	sent  quota.Window
}

// mark records that an upstream is cold until a time. A later mark extends the time.
func (c *coldUpstreams) mark(id string, until time.Time) {
	if c.byID == nil {
		c.byID = map[string]*coldUpstream{}
	}
	u := c.byID[id]
	if u == nil {
		u = &coldUpstream{}
		c.byID[id] = u
	}
	if until.After(u.until) {
		u.until = until
	}
}

// exhausted returns the cold upstreams to which this gateway may send nothing now; nil if there are
// none. It forgets those that have become warm.
func (c *coldUpstreams) exhausted(now time.Time, p quota.Position) map[string]bool {
	var list map[string]bool
	for id, u := range c.byID {
		if !now.Before(u.until) {
			delete(c.byID, id)
			continue
		}
		if c.limit.requests > 0 && u.sent.Used(now, c.limit.window) >= c.share(id, p) {
			if list == nil {
				list = map[string]bool{}
			}
			list[id] = true
		}
	}
	return list
}

// recordSend counts a request that is sent to an upstream, if that is cold.
func (c *coldUpstreams) recordSend(now time.Time, id string, p quota.Position) {
	if u := c.byID[id]; u != nil {
		u.sent.Take(now, c.limit.window, c.share(id, p))
	}
}

func (c *coldUpstreams) share(id string, p quota.Position) int {
	return p.Turned(xxhash.Sum64String(id)).Share(c.limit.requests)
}
