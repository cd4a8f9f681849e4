package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/quarantine"
	"github.com/snipereach/snipereach/wire"
)

// suspects is what the gateway knows of requests that may end the upstreams that run them: what
// it has seen itself, and what the control replicas tell of other gateways.
//
// A request that ends each upstream takes with it all that runs there, and in a group all that
// runs at any rank; its caller sends it again, to any gateway, where it is a new request. One such
// request kept a group from answering for minutes.
type suspects struct {
	now func() time.Time
	// known is how many requests are remembered: with none, as nearly always, a request pays one
	// read of it.
	known atomic.Int64

	mu    sync.Mutex
	table *quarantine.Table
	// tellers are those that tell the replicas what was seen here, by replica.
	tellers map[string]*teller
}

func (s *suspects) init(now func() time.Time) {
	s.now, s.table, s.tellers = now, quarantine.NewTable(quarantine.DefaultSettings()), map[string]*teller{}
}

// change calls a function that changes the table, and has the replicas told if it says so.
func (s *suspects) change(f func(now time.Time, t *quarantine.Table) (tell bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tell := f(s.now(), s.table)
	s.known.Store(int64(s.table.Len()))
	if !tell {
		return
	}
	for _, t := range s.tellers {
		t.wake()
	}
}

func (s *suspects) mayKnow(h quarantine.Hint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.MayKnow(h)
}

func (s *suspects) judge(k quarantine.Key) quarantine.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Judge(s.now(), k)
}

func (s *suspects) begin(k quarantine.Key) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Begin(s.now(), k)
}

func (s *suspects) done(k quarantine.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Done(k)
}

// ended takes that an upstream ended while it ran a request, and what is held against that now.
func (s *suspects) ended(subject quarantine.Subject, upstream string) (v quarantine.Verdict) {
	s.change(func(now time.Time, t *quarantine.Table) bool {
		v = t.Ended(now, subject, upstream)
		return true
	})
	return v
}

// answered takes that an upstream answered a request whole; it says whether something was held
// against it.
func (s *suspects) answered(k quarantine.Key) (cleared bool) {
	s.change(func(now time.Time, t *quarantine.Table) bool {
		cleared = t.Answered(now, k)
		return cleared
	})
	return cleared
}

// learned is a request whose standing has changed by what others told.
type learned struct {
	told *wire.Suspicion
	now  quarantine.Verdict
}

// learn takes what a replica tells.
func (s *suspects) learn(list []*wire.Suspicion) (changes []learned) {
	s.change(func(now time.Time, t *quarantine.Table) bool {
		for _, m := range list {
			before := t.Judge(now, quarantine.Key(m.Key)).Standing
			t.Learn(now, m)
			if v := t.Judge(now, quarantine.Key(m.Key)); v.Standing != before {
				changes = append(changes, learned{told: m, now: v})
			}
		}
		return false
	})
	return changes
}

// forget drops what is held no longer.
func (s *suspects) forget() {
	if s.known.Load() == 0 {
		return
	}
	s.change(func(now time.Time, t *quarantine.Table) bool {
		t.Forget(now)
		return false
	})
}

// count is how many requests are suspected, and how many of these are in quarantine.
func (s *suspects) count() (suspected, quarantined int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Count(s.now())
}

// dump lists what is held, for operators.
func (s *suspects) dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.All(s.now())
}

// suspected says whether something may be held against the request, and names it then. The
// body is hashed only for a request like one that is remembered.
func (c *call) suspected() (quarantine.Key, bool) {
	if c.suspects.known.Load() == 0 {
		return quarantine.Key{}, false
	}
	if k := c.key.Load(); k != nil {
		return *k, true
	}
	r := c.identity()
	if !c.suspects.mayKnow(r.Hint()) {
		return quarantine.Key{}, false
	}
	k := r.Key()
	c.key.Store(&k)
	return k, true
}

// standing is what is held against the request now.
func (c *call) standing() quarantine.Verdict {
	k, ok := c.suspected()
	if !ok {
		return quarantine.Verdict{}
	}
	return c.suspects.judge(k)
}

// heldBack is the refusal of a request that is sent to no upstream; nil for any other.
//
// It is refused as not run, with the time at which it may be tried again: it stands in nobody's
// way, and a caller whose harmless request only ran beside others that end upstreams is told
// nothing false.
func (c *call) heldBack() *refusal {
	k, ok := c.suspected()
	if !ok {
		return nil
	}
	v := c.suspects.judge(k)
	switch {
	case v.Standing == quarantine.Quarantined:
		c.why = whyHeld(k, v)
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonQuarantined, wait: v.Left}
	case v.Standing == quarantine.LastTrial && c.waited > 0:
		// Copies that waited at all gateways until the group was open again would be let in side
		// by side, and end an upstream each.
		c.why = whyHeld(k, v)
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonLastTrial}
	}
	return nil
}

// whyHeld names the inputs of a refusal.
func whyHeld(k quarantine.Key, v quarantine.Verdict) string {
	return fmt.Sprintf("key %s: %d upstreams ended under it (%s), the last %d ms ago", k, v.Ends, strings.Join(v.Upstreams, " "), v.Age.Milliseconds())
}

// beginTrial notes that a request under which upstreams ended is about to be sent; it refuses
// what must not be sent beside another copy. end must be called in any case.
func (c *call) beginTrial() (f *refusal, end func()) {
	end = func() {}
	if f := c.heldBack(); f != nil {
		return f, end
	}
	k, ok := c.suspected()
	if !ok {
		return nil, end
	}
	if !c.suspects.begin(k) {
		c.why = whyHeld(k, c.suspects.judge(k)) + ", and a copy runs"
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonLastTrial}, end
	}
	return nil, func() { c.suspects.done(k) }
}

// oneAttempt says whether the request must not be sent to another upstream: the end of one more
// puts it in quarantine, or it is there.
func (c *call) oneAttempt() (reason string, only bool) {
	switch c.standing().Standing {
	case quarantine.Quarantined:
		return reasonQuarantined, true
	case quarantine.LastTrial:
		return reasonLastTrial, true
	}
	return "", false
}

// answeredWhole takes that an upstream answered the request whole: it isn't one that ends each
// upstream that runs it.
func (c *call) answeredWhole() {
	k, ok := c.suspected()
	if !ok || !c.suspects.answered(k) {
		return
	}
	c.metrics.Count("gateway.suspects_cleared")
	if ok, leftOut := c.ends.lines.Take(); ok {
		kernel.Info(c.log, "Suspected request was answered.", "request", c.asked.ID, "key", k, "route", c.route.GetName(), "lines_left_out", leftOut)
	}
}

// hearSuspicions takes what a replica tells of requests.
func (g *Gateway) hearSuspicions(from string, list []*wire.Suspicion) {
	if len(list) == 0 {
		return
	}
	valid := list[:0:0]
	for _, m := range list {
		if err := quarantine.Check(m); err != nil {
			g.believe("Suspicion can't be taken.", "replica", from, "err", err)
			continue
		}
		valid = append(valid, m)
	}
	for _, l := range g.suspects.learn(valid) {
		if ok, leftOut := g.ends.lines.Take(); ok {
			kernel.Info(g.log, "Request's standing is heard.", "replica", from, "key", quarantine.Key(l.told.Key), "route", l.told.Route, "team", l.told.Team,
				"standing", l.now.Standing, "ends", l.now.Ends, "upstreams", strings.Join(l.now.Upstreams, ","),
				"left_ms", l.now.Left.Milliseconds(), "lines_left_out", leftOut)
		}
	}
}
