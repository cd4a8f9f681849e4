package gateway

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/snipereach/snipereach/backpressure"
)

// maxUnreadableUpstreams bounds the upstreams of which it is remembered that a value can't be read.
const maxUnreadableUpstreams = 1000

// unreadableValues remembers which upstreams have sent values that can't be read, so that each is
// logged once and not with each answer.
type unreadableValues struct {
	mu     sync.Mutex
	logged map[string]bool
}

// first reports whether a value of an upstream hasn't been reported before.
func (u *unreadableValues) first(upstream, field string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	name, _, _ := strings.Cut(field, ":")
	key := upstream + "\x00" + name
	if u.logged[key] || len(u.logged) >= maxUnreadableUpstreams {
		return false
	}
	if u.logged == nil {
		u.logged = map[string]bool{}
	}
	u.logged[key] = true
	return true
}

// recordStatements records what an upstream's answer says that the upstream bears.
//
// Another upstream may have the address by now, so a statement is attributed to the instance that
// the answer names. An answer that didn't come from an upstream's program states nothing, and a
// refusal may lack what other answers have; so only an answer that was run shows that a limit has
// ended.
func (c *call) recordStatements(a *attempt) {
	instance := a.upstream.ID
	switch {
	case a.head.Instance != "":
		instance = a.head.Instance
	case a.status == http.StatusMisdirectedRequest:
		return
	}
	for _, field := range a.head.Unreadable {
		if c.unreadable.first(instance, field) {
			c.metrics.Count("gateway.unreadable_values")
			c.logState("Value of an upstream can't be read.", "upstream", instance, "field", field)
		}
	}
	if a.head.Rest > 0 {
		c.recordRest(instance, a.head.Rest)
	}
	if s, ok := c.statement(a, instance); ok {
		s.Upstream, s.Incarnation = instance, c.incarnationOf(a, instance)
		c.backpressure.Observe(s)
	}
}

// statement returns what an answer says that concerns all gateways; ok is false if it says nothing. A
// limit stays as it was known if the answer doesn't show that there is none.
func (c *call) statement(a *attempt, instance string) (s backpressure.Statement, ok bool) {
	switch {
	case !a.head.FromUpstream && !a.head.NotRun:
		return s, false
	case a.head.Limit != nil:
		s.Limited, s.PerS = true, *a.head.Limit
	case a.head.FromUpstream && len(a.head.Unreadable) == 0:
	case a.head.Leaving:
		known := c.backpressure.Known(instance)
		s.Limited, s.PerS = known.Limited, known.PerS
	default:
		return s, false
	}
	s.Leaving = a.head.Leaving
	return s, true
}

// incarnationOf returns the incarnation of the instance that has answered an attempt; 0 if it isn't known.
func (c *call) incarnationOf(a *attempt, instance string) uint64 {
	if instance == a.upstream.ID {
		return a.upstream.Incarnation
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := c.knownUpstreams[instance]; i != nil {
		return i.Incarnation
	}
	return 0
}

// recordRest records for how long an upstream that has refused wants no request from this gateway.
func (g *Gateway) recordRest(upstream string, d time.Duration) {
	if !g.rests.Ask(upstream, d) {
		g.metrics.Count("gateway.rests.repeated")
		return
	}
	g.metrics.Count("gateway.rests")
	g.logState("Upstream asks for rest.", "upstream", upstream, "rest_ms", d.Milliseconds())
}
