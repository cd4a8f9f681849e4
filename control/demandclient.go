package control

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/demand"
	"github.com/snipereach/snipereach/wire"
)

// ListDemand returns what callers ask of contended services, as far as any replica that answers within
// the timeout knows. It returns ErrUnavailable if none answers. The replicas are asked at the same time,
// so that lost ones don't add up their timeouts.
func (c *Client) ListDemand(ctx context.Context, timeout time.Duration) (demand.List, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	replies, errs := make([]*wire.ListDemandReply, len(c.addrs)), make([]error, len(c.addrs))
	var wg sync.WaitGroup
	for i, addr := range c.addrs {
		wg.Go(func() {
			replies[i], errs[i] = wire.NewDRPCDemandClient(c.pool.Conn(ctx, addr)).List(ctx, &wire.ListDemandRequest{})
		})
	}
	wg.Wait()
	err := merry.Prepend(ErrUnavailable, "no control replica is known")
	var list demand.List
	var answered []demand.Reply
	for i, addr := range c.addrs {
		if errs[i] != nil {
			err = merry.Prependf(ErrUnavailable, "%s: %v", addr, errs[i])
			list.Unanswered = append(list.Unanswered, addr)
			continue
		}
		answered = append(answered, demand.Reply{Replica: addr, Services: replies[i].Services})
	}
	if len(answered) == 0 {
		return demand.List{}, err
	}
	list.Services = demand.Merge(answered)
	return list, nil
}
