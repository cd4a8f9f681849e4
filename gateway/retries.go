package gateway

import (
	"context"
	"time"

	"github.com/snipereach/snipereach/quota"
	"github.com/snipereach/snipereach/retry"
	"github.com/snipereach/snipereach/wire"
)

// borrowTimeout bounds a call that borrows a retry. The request waits for it, and a retry that comes much
// later is of little use.
const borrowTimeout = 100 * time.Millisecond

// allowance returns the allowance of a service.
func (s RetrySettings) allowance() retry.Allowance {
	return retry.Allowance{Ratio: s.Ratio, Slack: s.Slack, Window: s.Window.D()}
}

// lastKnownPosition returns the position of this gateway at the last change of the directory.
func (g *Gateway) lastKnownPosition() quota.Position {
	if p := g.lastPosition.Load(); p != nil {
		return *p
	}
	return quota.Position{Count: 1}
}

// borrowRetry asks the nearest control replica for the token of one retry.
func (g *Gateway) borrowRetry(service string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	replica := g.targets.Pick(g.now(), 1)
	if len(replica) == 0 {
		return false
	}
	a := g.settings.Retries
	req := &wire.BorrowRetryRequest{Service: service, Slack: a.Slack, WindowMs: uint32(a.Window.D().Milliseconds())}
	reply, err := wire.NewDRPCRoutingClient(g.pool.Conn(ctx, replica[0])).BorrowRetry(ctx, req)
	if err != nil {
		g.logState("A retry can't be borrowed.", "replica", replica[0], "service", service, "err", err)
	}
	if err != nil || !reply.Lent {
		g.metrics.Count("gateway.retries.not_lent")
		return false
	}
	g.metrics.Count("gateway.retries.borrowed")
	return true
}
