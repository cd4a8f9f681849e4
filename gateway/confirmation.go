package gateway

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/routing"
	"github.com/snipereach/snipereach/wire"
)

const (
	// confirmTimeout bounds the question to one replica whether a configuration is current. A request
	// waits for it.
	confirmTimeout = 250 * time.Millisecond
	// maxConfirmAttempts bounds the replicas that are asked in turn.
	maxConfirmAttempts = 2
	// confirmedAgeUnit is the unit in which replicas tell the age of their state, rounded down.
	confirmedAgeUnit = time.Millisecond
)

// errUnconfirmed is returned if no replica can confirm a configuration.
var errUnconfirmed = merry.Sentinel("no control replica can confirm the configuration")

// byConfiguration reports whether a refusal for a reason is final for the caller and true only while the
// configuration that it derives from is in force.
func byConfiguration(reason string) bool {
	switch reason {
	case reasonNoRoute, reasonUnknownKey, reasonHeaderTooLarge, reasonBodyTooLarge:
		return true
	}
	return false
}

// refuseBy returns the refusal to a request that a configuration doesn't allow, if that configuration is
// known to be current. It returns a refusal that may be retried if that can't be told, and
// nil if a newer configuration is in force.
func (c *call) refuseBy(t *routing.Table, f *refusal) *refusal {
	confirmed := c.freshness.Confirm(c.r.Context())
	switch {
	case c.table.Load() != t:
		return nil
	case confirmed:
		return f
	}
	c.cause = c.explainUnconfirmed(t, f.reason)
	c.logState("Configuration can't be confirmed.", "version", t.Config.Version, "why", c.cause)
	return &refusal{status: http.StatusServiceUnavailable, reason: reasonUnconfirmed}
}

func (g *Gateway) explainUnconfirmed(t *routing.Table, reason string) string {
	age := "never confirmed"
	if d, ok := g.freshness.Age(); ok {
		age = "confirmed " + d.Round(time.Millisecond).String() + " ago"
	}
	current, connected := g.reports.current()
	return fmt.Sprintf("%s by version %d, %s, %d of %d connected replicas are current, %v", reason, t.Config.Version, age, len(current), connected, g.freshness.LastError())
}

// askReplicas asks replicas whose state is current for a confirmation, and fetches a newer configuration
// if they have one. It implements freshness.AskFunc.
func (g *Gateway) askReplicas(ctx context.Context) (asOf time.Time, err error) {
	err = errUnconfirmed
	replicas := g.currentReplicas()
	for _, addr := range replicas[:min(len(replicas), maxConfirmAttempts)] {
		if asOf, err = g.askReplica(ctx, addr); err == nil {
			g.metrics.Count("gateway.routing_confirmed")
			return asOf, nil
		}
	}
	g.metrics.Count("gateway.routing_unconfirmed")
	return time.Time{}, err
}

// currentReplicas returns the replicas whose last report says that their state is current, the nearest first.
func (g *Gateway) currentReplicas() (list []string) {
	current, _ := g.reports.current()
	for _, addr := range g.targets.Addresses() {
		if current[addr] {
			list = append(list, addr)
		}
	}
	return list
}

func (g *Gateway) askReplica(ctx context.Context, addr string) (asOf time.Time, err error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	askedAt := g.now()
	reply, err := wire.NewDRPCRoutingClient(g.pool.Conn(ctx, addr)).Confirm(ctx, &wire.ConfirmRoutingRequest{})
	if err != nil {
		return time.Time{}, err
	}
	if reply.Version > g.routingVersion() {
		if err := g.fetchRouting(ctx, addr); err != nil {
			return time.Time{}, err
		}
	}
	if g.routingVersion() < reply.Version {
		return time.Time{}, errUnconfirmed
	}
	age := time.Duration(reply.ConfirmedAgeMs)*time.Millisecond + confirmedAgeUnit
	if age > g.settings.RoutingMaxAge.D() {
		return time.Time{}, errUnconfirmed
	}
	return askedAt.Add(-age), nil
}
