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
	// exitProbeTimeout bounds the probe whether an upstream still listens. A request that may be
	// retried waits for it.
	probeTimeout = 150 * time.Millisecond
	// pendingExitTTL is how long after an attempt was cut a new incarnation at the address is
	// taken as evidence that the upstream has exited; it restarts within seconds.
	pendingFor = 10 * time.Second
	// maxPendingExits bounds the cut attempts without evidence yet.
	mostPending = 256
)

// Evidence that an upstream exited while it ran a request, in addition to the cut connection.
const (
	// signRefused means that connections to its address are refused.
	signRefused = "refused"
	// signReplaced means that another incarnation has its address.
	signReplaced = "replaced"
)

// pendingExit is an attempt that was cut, until it is known whether its upstream exited.
type pendingEnd struct {
	quarantine.End
	// known holds the IDs of the instances that were known at the address when the attempt was
	// cut.
	known []string
	// cutAt is the time of the cut, by the gateway's clock.
	cutAt time.Time
}

// replacedBy reports whether an instance has appeared at the address since the cut. One that was
// known there before may be an earlier incarnation whose lease hasn't expired yet.
func (p *pendingEnd) replacedBy(i *directory.Instance) bool {
	return i.Up() && i.Address == p.Address && i.Id != p.Upstream && !slices.Contains(p.known, i.Id)
}

// exitDetector finds out which attempts were cut because their upstream exited.
type upstreamEnds struct {
	probes  singleflight.Group
	pending []pendingEnd
}

// mayHaveExited reports whether an attempt may have been cut because its upstream exited: the
// upstream closed the connection, the attempt wasn't given up here, and the upstream hasn't
// announced that it leaves.
func (c *call) looksEnded(a *attempt, o outcome) bool {
	return o == outcomeInDoubt && a.broken && a.ctx.Err() == nil && !c.node.Leaves(a.up.ID)
}

// recordCut looks for evidence that the upstream of a cut attempt exited. It first probes the
// address. A host that doesn't respond, or that already accepts connections again, is resolved by
// the incarnation that registers next.
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

// newPendingExit returns the record of an attempt that was cut just now. The instances known at
// the address must be recorded before the probe: an incarnation that registers during the probe
// would pass for one that was known before, and the exit would never be reported.
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

// connectionRefused reports whether nothing listens at an upstream's address. An exit cuts many
// requests at once; they share one probe.
func (g *Gateway) upstreamRefuses(address string) bool {
	refuses, _, _ := g.ends.probes.Do(address, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		return g.client.Refuses(ctx, address), nil
	})
	return refuses.(bool)
}

// resolvePendingExits reports the pending exits whose address has another incarnation now.
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

// reportExit reports that an upstream exited while it ran a request.
func (g *Gateway) upstreamEnded(e quarantine.End, sign string) {
	e.Sign = sign
	g.metrics.Count("gateway.upstream_ended." + sign)
	g.suspects.Ended(e)
}
