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
	// exitProbeTimeout bounds the probe of an upstream's address. A request that may be retried
	// waits for it.
	exitProbeTimeout = 150 * time.Millisecond
	// pendingExitTTL is how long after an attempt was cut a new incarnation at the address is
	// taken as evidence that the upstream has exited; it restarts within seconds.
	pendingExitTTL = 10 * time.Second
	// maxPendingExits bounds the cut attempts without evidence yet.
	maxPendingExits = 256
)

// Evidence that an upstream exited while it ran a request, as logs and metrics show it.
const (
	// signRefused means that connections to its address are refused.
	signRefused = "refused"
	// signReplaced means that another incarnation has its address.
	signReplaced = "replaced"
)

// pendingExit is an attempt that was cut, until it is known whether its upstream exited.
type pendingExit struct {
	quarantine.Crash
	// known holds the IDs of the instances that were known at the address when the attempt was
	// cut.
	known []string
	// cutAt is the time of the cut, by the gateway's clock.
	cutAt time.Time
}

// replacedBy reports whether an instance has appeared at the address since the cut. One that was
// known there before may be an earlier incarnation whose lease hasn't expired yet.
func (p *pendingExit) replacedBy(i *directory.Instance) bool {
	return i.Up() && i.Address == p.Address && i.Id != p.Upstream && !slices.Contains(p.known, i.Id)
}

// exitDetector finds out which attempts were cut because their upstream exited.
type exitDetector struct {
	probes  singleflight.Group
	pending []pendingExit
}

// mayHaveExited reports whether an attempt may have been cut because its upstream exited: the
// upstream closed the connection, the attempt wasn't given up here, and the upstream hasn't
// announced that it leaves.
func (c *call) mayHaveExited(a *attempt, o outcome) bool {
	leaves := c.node.IsLeaving(a.upstream.ID) || c.backpressure.Known(a.upstream.ID).Leaving
	return o == outcomeInDoubt && a.cut && a.ctx.Err() == nil && !leaves
}

// recordCut looks for evidence that the upstream of a cut attempt exited. It first probes the
// address. A host that doesn't respond, or that already accepts connections again, is resolved by
// the incarnation that registers next.
func (c *call) recordCut(a *attempt) {
	p := c.newPendingExit(a)
	if c.connectionRefused(p.Address) {
		c.reportExit(p.Crash, signRefused)
		return
	}
	c.mu.Lock()
	if len(c.exits.pending) >= maxPendingExits {
		c.exits.pending = c.exits.pending[1:]
	}
	c.exits.pending = append(c.exits.pending, p)
	c.mu.Unlock()
	c.resolvePendingExits(c.node.Instances(wire.Role_ROLE_UPSTREAM))
}

// newPendingExit returns the record of an attempt that was cut just now. The instances known at
// the address must be recorded before the probe: an incarnation that registers during the probe
// would pass for one that was known before, and the exit would never be reported.
func (c *call) newPendingExit(a *attempt) pendingExit {
	p := pendingExit{cutAt: c.now()}
	route := c.route.GetName()
	p.Crash = quarantine.Crash{
		RequestInfo: c.Identity().Info(route), Parts: quarantine.PartInfos(c.promptParts(), c.team.GetName(), route), RequestID: c.params.ID,
		Upstream: a.upstream.ID, Address: a.upstream.Address, RunTime: time.Since(a.startedAt),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, i := range c.knownUpstreams {
		if i.Address == a.upstream.Address {
			p.known = append(p.known, i.Id)
		}
	}
	return p
}

// connectionRefused reports whether nothing listens at an upstream's address. An exit cuts many
// requests at once; they share one probe.
func (g *Gateway) connectionRefused(address string) bool {
	refuses, _, _ := g.exits.probes.Do(address, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), exitProbeTimeout)
		defer cancel()
		return g.client.RefusesConnections(ctx, address), nil
	})
	return refuses.(bool)
}

// resolvePendingExits reports the pending exits whose address has another incarnation now.
func (g *Gateway) resolvePendingExits(known []*directory.Instance) {
	g.mu.Lock()
	if len(g.exits.pending) == 0 {
		g.mu.Unlock()
		return
	}
	var remaining, exited []pendingExit
	for _, p := range g.exits.pending {
		switch {
		case slices.ContainsFunc(known, p.replacedBy):
			exited = append(exited, p)
		case g.now().Sub(p.cutAt) < pendingExitTTL:
			remaining = append(remaining, p)
		}
	}
	g.exits.pending = remaining
	g.mu.Unlock()
	for _, p := range exited {
		p.Age = g.now().Sub(p.cutAt)
		g.reportExit(p.Crash, signReplaced)
	}
}

// reportExit reports that an upstream exited while it ran a request.
func (g *Gateway) reportExit(e quarantine.Crash, sign string) {
	e.DetectedBy = sign
	g.metrics.Count("gateway.upstream_ended." + sign)
	g.quarantine.RecordCrash(e)
}
