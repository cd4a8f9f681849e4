package agent

import (
	"context"
	"sync"
	"time"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

// announceTimeout bounds one announcement, so that a silent replica doesn't
// hold up the others.
const announceTimeout = time.Second

func (a *Agent) announceLoop(ctx context.Context) {
	tick := time.NewTicker(a.settings.AnnounceInterval.D())
	defer tick.Stop()
	for {
		phase := wire.Phase_PHASE_UP
		if a.attempts.isClosed() {
			phase = wire.Phase_PHASE_LEAVING
		}
		a.announceAll(ctx, phase)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (a *Agent) announceAll(ctx context.Context, phase wire.Phase) {
	msg := a.announcement(phase)
	var wg sync.WaitGroup
	for _, addr := range a.settings.AnnounceTo {
		wg.Add(1)
		go func() {
			defer wg.Done()
			a.announce(ctx, addr, msg)
		}()
	}
	wg.Wait()
}

func (a *Agent) announcement(phase wire.Phase) *wire.Announcement {
	return &wire.Announcement{
		Id: a.settings.ID, Incarnation: a.incarnation, Seq: a.seq.Add(1),
		Role: wire.Role_ROLE_UPSTREAM, Phase: phase,
		FailureDomain: a.settings.FailureDomain, Address: a.Address(),
		Pools: a.settings.Pools, Kind: a.up.Kind(), Load: a.currentLoad(),
		Group: a.settings.Group, Rank: a.settings.Rank,
		LeaseMs: uint32(a.settings.Lease.D().Milliseconds()),
	}
}

func (a *Agent) announce(ctx context.Context, addr string, msg *wire.Announcement) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	reply, err := wire.NewDRPCDirectoryClient(a.pool.Conn(ctx, addr)).Announce(ctx, msg)
	if err != nil {
		kernel.Debug(a.log, "Announcement failed.", "to", addr, "err", err)
		return
	}
	a.followPools(reply.Pools)
	if reply.Superseded {
		kernel.Warn(a.log, "A later life of this ID is known. Is the ID used twice?", "id", a.settings.ID, "told_by", addr)
	}
}

// pollLoad asks the upstream for its load between announcements.
func (a *Agent) pollLoad(ctx context.Context) {
	tick := time.NewTicker(a.settings.AnnounceInterval.D())
	defer tick.Stop()
	for {
		if l, err := a.up.Load(ctx); err == nil {
			a.load.Store(l)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// currentLoad joins the agent's own queue, which is exact, with the upstream's
// report, which lags.
func (a *Agent) currentLoad() *wire.Load {
	running, waiting := a.runner.Counts()
	l := &wire.Load{
		Seq:     a.loadSeq.Add(1),
		Running: uint32(running),
		Waiting: uint32(waiting),
		Slots:   uint32(a.queue.get().Slots),
	}
	if r := a.load.Load(); r != nil {
		l.Waiting += r.Waiting
		l.PendingTokens = r.PendingTokens
		l.CachePermille = r.CachePermille
	}
	return l
}
