package leader

import (
	"context"
	"errors"
	"net"
	"slices"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/lockstep"
	"github.com/snipereach/snipereach/sidecar"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

const (
	// relayReadTimeout and relayOrderTimeout bound how long a relay waits for its ranks,
	// in addition to the time that a reading waits for a copy or that maps take to
	// transfer. A rank answers its sidecar within milliseconds, and 13 answers with counters
	// take 40 ms of a relay's link. A rank whose host hangs delays the others of its part by up
	// to this, once per sidecarRetryDelay.
	relayReadTimeout  = 250 * time.Millisecond
	relayOrderTimeout = 120 * time.Millisecond
	// relayBytesPerSecond is the assumed bandwidth of a relay's link, from which the
	// transfer time of maps is estimated.
	relayBytesPerSecond = 500_000
	// relayRoundTrip is the allowance for the round trip to a relay.
	relayRoundTrip = 100 * time.Millisecond
)

// relayOrderTimeoutFor returns how long a relay may take for orders that each carry a map
// of mapBytes bytes.
func relayOrderTimeoutFor(orders, mapBytes int) time.Duration {
	return relayOrderTimeout + time.Duration(orders*mapBytes)*time.Second/relayBytesPerSecond
}

// relayPart returns the part of the group, served by one relay, in which a rank is called
// now. It is noPart if the rank is called on its own, e.g. while its sidecar doesn't answer.
func (g *group) relayPart(now time.Time, rank int) int {
	part, ok := g.relays.PartOf(rank)
	if !ok || g.settings.SidecarPort == 0 || !now.After(g.links[rank].sidecarRetryAt) {
		return noPart
	}
	return part
}

// relayFor returns the rank whose sidecar relays a call to some ranks of a part. A single
// rank is called without a relay, which would only add a hop.
func (g *group) relayFor(now time.Time, part int, ranks []int) (via int, ok bool) {
	if part == noPart || len(ranks) < 2 {
		return 0, false
	}
	return g.relays.RelayFor(now, part)
}

// markRelayFailed records that a sidecar did not answer as a relay.
func (g *group) markRelayFailed(via int, err error) {
	kernel.Info(g.log, "Relay doesn't answer.", "group", g.name, "rank", via, "upstream", g.links[via].instance, "err", err)
	g.metrics.Count("lockstep.relays.failed")
	g.relays.MarkFailed(g.clock(), via)
}

// sidecarAddress returns the address of a rank's sidecar; empty if there is none.
func (g *group) sidecarAddress(link *rankLink) string {
	host, _, err := net.SplitHostPort(link.address)
	if err != nil || g.settings.SidecarPort == 0 {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(g.settings.SidecarPort))
}

func (g *group) sidecarClient(address string) wire.DRPCSidecarClient {
	return wire.NewDRPCSidecarClient(g.pool.Conn(context.Background(), address))
}

// readThroughRelay reads ranks of one part through the sidecar of rank via.
func (g *group) readThroughRelay(ctx context.Context, via int, ranks []int, read *wire.ReadRankRequest) {
	limit := relayReadTimeout + time.Duration(read.AwaitMs)*time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, limit+relayRoundTrip)
	defer cancel()
	req := &wire.ReadRanksRequest{Read: read, LimitMs: uint32(limit.Milliseconds())}
	g.mu.Lock()
	at, epoch, links, relay := g.clock(), g.epoch, g.links, g.sidecarAddress(g.links[via])
	for _, i := range ranks {
		req.Ranks = append(req.Ranks, &wire.RankPlace{Instance: links[i].instance, Sidecar: g.sidecarAddress(links[i])})
	}
	g.mu.Unlock()
	reply, err := g.sidecarClient(relay).ReadRanks(ctx, req)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.metrics.Count("lockstep.relayed.readings")
	if err != nil || len(reply.Readings) != len(ranks) {
		for _, i := range ranks {
			links[i].readInFlight = false
		}
		if g.epoch == epoch {
			g.markRelayFailed(via, err)
		}
		return
	}
	for n, i := range ranks {
		reading := reply.Readings[n]
		if reading.Report == nil {
			links[i].readInFlight = false
			g.suspendSidecar(links[i], reading.Refused)
			continue
		}
		rankRead := proto.Clone(read).(*wire.ReadRankRequest)
		rankRead.Instance = req.Ranks[n].Instance
		g.handleReading(at, i, links[i], rankRead, epoch, reading, nil)
	}
	if g.epoch == epoch {
		g.observeChoices(reply.Chosen)
	}
}

// suspendSidecar stops calls to a rank's sidecar, which did not answer or refused the connection,
// for a while. The rank is called directly meanwhile, so that it doesn't delay the
// other ranks of its part. For the same reason the sidecar isn't used as their relay.
func (g *group) suspendSidecar(link *rankLink, refused bool) {
	delay := sidecarRetryDelay
	if refused {
		delay = sidecarRestartDelay
	}
	link.sidecarRetryAt = g.clock().Add(delay)
	if rank := slices.Index(g.links, link); rank >= 0 {
		// A link of an earlier epoch has no rank.
		g.relays.MarkFailed(g.clock(), rank)
	}
	kernel.Debug(g.log, "Sidecar doesn't answer.", "group", g.name, "upstream", link.instance, "refused", refused)
}

// orderBatchKey identifies the orders that may share a call to a relay: those to one part of
// the group with the same encoded map. encodedMap points to the map's first byte; the map
// is encoded once for all orders that carry it.
type orderBatchKey struct {
	part       int
	encodedMap *byte
}

// sendOrders sends the orders of one round, through relays where possible.
func (g *group) sendOrders(ctx context.Context, now time.Time, orders []lockstep.Order) {
	batches := map[orderBatchKey][]lockstep.Order{}
	for _, o := range orders {
		key := orderBatchKey{part: g.relayPart(now, o.Rank)}
		if len(o.Map) > 0 {
			key.encodedMap = &o.Map[0]
		}
		batches[key] = append(batches[key], o)
	}
	for key, list := range batches {
		ranks := make([]int, len(list))
		for n, o := range list {
			ranks[n] = o.Rank
		}
		if via, ok := g.relayFor(now, key.part, ranks); ok {
			g.sendThroughRelay(ctx, via, list)
			continue
		}
		for _, o := range list {
			g.sendOrder(ctx, o)
		}
	}
}

// sendThroughRelay sends orders through the sidecar of rank via. All must carry the same
// map, or none.
func (g *group) sendThroughRelay(ctx context.Context, via int, orders []lockstep.Order) {
	limit := relayOrderTimeoutFor(len(orders), len(orders[0].Map))
	req := &wire.OrderRanksRequest{Map: orders[0].Map, LimitMs: uint32(limit.Milliseconds())}
	links, switcher, relay, epoch := g.links, g.switcher, g.sidecarAddress(g.links[via]), g.epoch
	for _, o := range orders {
		req.Orders = append(req.Orders, &wire.PlacedOrder{Order: withoutMap(o.RankOrder), Sidecar: g.sidecarAddress(links[o.Rank])})
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, limit+relayRoundTrip)
		defer cancel()
		reply, err := g.sidecarClient(relay).OrderRanks(ctx, req)
		g.mu.Lock()
		defer g.mu.Unlock()
		g.metrics.Count("lockstep.relayed.orders")
		complete := err == nil && len(reply.Replies) == len(orders)
		if !complete && g.epoch == epoch {
			g.markRelayFailed(via, err)
		}
		for n, o := range orders {
			var rankReply *wire.RankOrderReply
			if complete {
				rankReply = reply.Replies[n]
				if rankReply.After == nil {
					g.suspendSidecar(links[o.Rank], rankReply.Refused)
				}
			}
			g.handleReply(switcher, links[o.Rank], o, rankReply, err)
		}
		g.requestTick()
	}()
}

// withoutMap returns a copy of an order without the map, which is sent once per call.
func withoutMap(o *wire.RankOrder) *wire.RankOrder {
	return &wire.RankOrder{
		Kind: o.Kind, Instance: o.Instance, FencingToken: o.FencingToken, ExpectSequence: o.ExpectSequence,
		Epoch: o.Epoch, Version: o.Version, Step: o.Step,
	}
}

// sendOrder sends an order without a relay and passes the answer to the switcher.
func (g *group) sendOrder(ctx context.Context, o lockstep.Order) {
	link, switcher := g.links[o.Rank], g.switcher
	go func() {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		reply, err := callRank(g, link, func(c wire.DRPCSidecarClient) (*wire.RankOrderReply, error) { return c.Order(ctx, o.RankOrder) },
			func(r *sidecar.Rank) (*wire.RankOrderReply, error) {
				reply, err := r.Order(ctx, o.RankOrder)
				g.setReportAge(reply.GetAfter())
				return reply, err
			})
		g.mu.Lock()
		defer g.mu.Unlock()
		g.handleReply(switcher, link, o, reply, err)
		g.requestTick()
	}()
}

// handleReply passes the answer to an order to the switcher; reply is nil if none came. An
// answer from another run of the rank counts as none.
func (g *group) handleReply(switcher *lockstep.Switcher, link *rankLink, o lockstep.Order, reply *wire.RankOrderReply, err error) {
	if err != nil || !link.isFromThisRun(reply.GetAfter()) {
		reply = nil
	}
	g.metrics.Count("lockstep.orders")
	if reply.GetStatus() == wire.RankOrderStatus_RANK_ORDER_STATUS_UNKNOWN {
		g.metrics.Count("lockstep.orders.unanswered")
	}
	kernel.Debug(g.log, "Order answered.", "group", g.name, "rank", o.Rank, "order", o.Kind, "version", o.Version, "step", o.Step,
		"expect", o.ExpectSequence, "status", reply.GetStatus(), "after", reply.GetAfter(), "err", err)
	switcher.HandleReply(g.clock(), o.Rank, o.RankOrder, reply)
}

// callRank calls a rank through its sidecar, or directly if it has none or the sidecar
// did not answer lately.
func callRank[R any](g *group, link *rankLink, viaSidecar func(wire.DRPCSidecarClient) (R, error), directly func(*sidecar.Rank) (R, error)) (R, error) {
	g.mu.Lock()
	address, sidecarAddr, retryAt := link.address, g.sidecarAddress(link), link.sidecarRetryAt
	g.mu.Unlock()
	if sidecarAddr == "" || !g.clock().After(retryAt) {
		return directly(sidecar.NewRank(g.client, g.rankDialect, address, directOrderTimeout))
	}
	reply, err := viaSidecar(g.sidecarClient(sidecarAddr))
	if err != nil {
		g.mu.Lock()
		g.suspendSidecar(link, errors.Is(err, transport.ErrRefused))
		g.mu.Unlock()
	}
	return reply, err
}
