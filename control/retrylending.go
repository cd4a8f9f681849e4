package control

import (
	"context"
	"slices"
	"time"

	"github.com/snipereach/snipereach/quota"
	"github.com/snipereach/snipereach/retry"
	"github.com/snipereach/snipereach/wire"
)

// BorrowRetry implements the Routing service.
func (s routingService) BorrowRetry(ctx context.Context, req *wire.BorrowRetryRequest) (*wire.BorrowRetryReply, error) {
	position, ok := s.lendingPosition(ctx)
	a := retry.Allowance{Slack: req.Slack, Window: time.Duration(req.WindowMs) * time.Millisecond}
	lent := ok && s.lender.Lend(req.Service, a, position)
	if lent {
		s.metrics.Count("control.retries.lent")
	} else {
		s.metrics.Count("control.retries.refused")
	}
	return &wire.BorrowRetryReply{Lent: lent}, nil
}

// lendingPosition returns the position of this replica among the members of the log; ok is false if it
// isn't one of them.
func (c *Control) lendingPosition(ctx context.Context) (p quota.Position, ok bool) {
	var addresses []string
	for _, m := range c.DirectoryReplicas(ctx) {
		addresses = append(addresses, m.Address)
	}
	slices.Sort(addresses)
	index, ok := slices.BinarySearch(addresses, c.info.Address)
	return quota.Position{Index: index, Count: len(addresses)}, ok
}
