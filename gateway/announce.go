package gateway

import (
	"context"
	"time"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/wire"
)

// announceLoop announces the gateway to the control replicas.
func (g *Gateway) announceLoop(ctx context.Context) {
	announcer := directory.NewAnnouncer(g.targets, g.pool.Conn, g.now)
	for {
		for _, reply := range announcer.Announce(ctx, g.announcement()) {
			g.handleReply(reply)
		}
		select {
		case <-ctx.Done():
			return
		case <-g.announceNow:
		case <-time.After(announcer.Interval(g.settings.AnnounceInterval.D(), g.settings.Lease.D())):
		}
	}
}

// triggerAnnounce has an announcement sent without waiting for the interval.
func (g *Gateway) triggerAnnounce() {
	select {
	case g.announceNow <- struct{}{}:
	default:
	}
}

// handleReply takes a higher incarnation if an earlier process with this ID had a higher one.
func (g *Gateway) handleReply(reply *wire.AnnounceReply) {
	if g.incarnation.HandleReply(g.log, reply) {
		g.triggerAnnounce()
	}
}

func (g *Gateway) announcement() *wire.Announcement {
	phase := wire.Phase_PHASE_UP
	if g.draining.Load() {
		phase = wire.Phase_PHASE_LEAVING
	}
	return &wire.Announcement{
		Id: g.settings.ID, Incarnation: g.incarnation.Number(), Seq: g.seq.Add(1),
		Role: wire.Role_ROLE_ENTRY, Phase: phase, FailureDomain: g.settings.FailureDomain,
		Address: g.CallerAddress(), CallerAddress: g.CallerAddress(),
		LeaseMs: uint32(g.settings.Lease.D().Milliseconds()), Listed: g.ready(),
	}
}
