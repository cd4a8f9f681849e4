package gateway

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/quarantine"
	"github.com/snipereach/snipereach/wire"
)

const (
	// probeTimeout bounds the question whether an upstream is still there: within a region it
	// is answered in milliseconds, and a request that may be tried elsewhere waits for it.
	probeTimeout = 150 * time.Millisecond
	// pendingFor is how long after an attempt was cut off another incarnation at the address
	// shows that the upstream ended: it starts again within seconds.
	pendingFor = 10 * time.Second
	// mostPending bounds the cut attempts that wait to be explained.
	mostPending = 256
)

// Signs that an upstream has ended while it ran a request.
const (
	// signRefused: it cut the request off, and nothing listens at its address.
	signRefused = "refused"
	// signReplaced: it cut the request off, and another incarnation has its address.
	signReplaced = "replaced"
)

// pendingEnd is an attempt that was cut off, until it is known whether its upstream ended.
type pendingEnd struct {
	quarantine.End
	// known are the instances that were known at the address when it was cut off.
	known []string
	// cutAt is when it was cut off, by the gateway's clock.
	cutAt time.Time
}

// replacedBy says whether an instance has come to the address since. One that was known there
// before may be an earlier incarnation, whose lease hasn't run out yet.
func (p *pendingEnd) replacedBy(i *directory.Instance) bool {
	return i.Up() && i.Address == p.Address && i.Id != p.Upstream && !slices.Contains(p.known, i.Id)
}

// upstreamEnds finds out which cut attempts were cut because their upstream ended.
type upstreamEnds struct {
	probes  singleflight.Group
	pending []pendingEnd
}

// looksEnded says whether an attempt may have been cut off because its upstream ended: the
// upstream broke it off, nobody here did, and it hasn't said that it leaves.
func (c *call) looksEnded(a *attempt, o outcome) bool {
	return o == outcomeInDoubt && a.broken && a.ctx.Err() == nil && !c.node.Leaves(a.up.ID)
}

// noteCut looks after an attempt that was cut off. Whether the upstream ended is asked at its
// address first; a host that says nothing, or that takes connections already again, shows it
// by the incarnation that registers.
func (c *call) noteCut(a *attempt) {
	p := c.cutOff(a)
	if c.upstreamRefuses(p.Address) {
		c.upstreamEnded(p.End, signRefused)
		return
	}
	c.mu.Lock()
	if len(c.ends.pending) >= mostPending {
		c.ends.pending = c.ends.pending[1:]
	}
	c.ends.pending = append(c.ends.pending, p)
	c.mu.Unlock()
	c.explainCuts(c.node.Instances(wire.Role_ROLE_UPSTREAM))
}

// cutOff is an attempt that was cut off just now. Who is known at the address is taken down before
// anything is asked there: an incarnation that registers while the answer is awaited would pass for
// one that was known all along, and the end would be told to nobody.
func (c *call) cutOff(a *attempt) pendingEnd {
	p := pendingEnd{cutAt: c.now()}
	p.End = quarantine.End{Subject: c.Identity().Subject(c.route.GetName()), RequestID: c.asked.ID, Upstream: a.up.ID, Address: a.up.Address, Ran: time.Since(a.began)}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, i := range c.known {
		if i.Address == a.up.Address {
			p.known = append(p.known, i.Id)
		}
	}
	return p
}

// upstreamRefuses asks at an upstream's address whether anything listens there. Many requests
// are cut off at once when it ends; one question is asked for all of them.
func (g *Gateway) upstreamRefuses(address string) bool {
	refuses, _, _ := g.ends.probes.Do(address, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		return g.client.Refuses(ctx, address), nil
	})
	return refuses.(bool)
}

// explainCuts finds the cut attempts whose upstream's address has another incarnation now.
func (g *Gateway) explainCuts(known []*directory.Instance) {
	g.mu.Lock()
	if len(g.ends.pending) == 0 {
		g.mu.Unlock()
		return
	}
	var left, ended []pendingEnd
	for _, p := range g.ends.pending {
		switch {
		case slices.ContainsFunc(known, p.replacedBy):
			ended = append(ended, p)
		case g.now().Sub(p.cutAt) < pendingFor:
			left = append(left, p)
		}
	}
	g.ends.pending = left
	g.mu.Unlock()
	for _, p := range ended {
		p.Ago = g.now().Sub(p.cutAt)
		g.upstreamEnded(p.End, signReplaced)
	}
}

// upstreamEnded takes that an upstream has ended while it ran a request.
func (g *Gateway) upstreamEnded(e quarantine.End, sign string) {
	e.Sign = sign
	g.metrics.Count("gateway.upstream_ended." + sign)
	g.suspects.Ended(e)
}
