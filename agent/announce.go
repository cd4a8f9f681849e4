package agent

import (
	"context"
	"math"
	"time"

	"github.com/snipereach/snipereach/wire"
)

func (a *Agent) announceLoop(ctx context.Context) {
	for {
		began := time.Now()
		phase := wire.Phase_PHASE_UP
		if a.attempts.isClosed() {
			phase = wire.Phase_PHASE_LEAVING
		}
		a.announceAll(ctx, phase)
		next := a.announcer.Interval(a.settings.AnnounceInterval.D(), a.settings.Lease.D())
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(began.Add(next))):
		}
	}
}

// announceAll sends an announcement to the control replicas that this agent uses; these
// forward it to the others. It applies the pool settings in their replies.
func (a *Agent) announceAll(ctx context.Context, phase wire.Phase) {
	for addr, reply := range a.announcer.Announce(ctx, a.announcement(phase)) {
		a.applyPoolSettings(reply.Pools)
		a.incarnation.HandleReply(a.log, reply, "told_by", addr)
	}
}

func (a *Agent) announcement(phase wire.Phase) *wire.Announcement {
	return &wire.Announcement{
		Id: a.settings.ID, Incarnation: a.incarnation.Number(), Seq: a.seq.Add(1),
		Role: wire.Role_ROLE_UPSTREAM, Phase: phase,
		FailureDomain: a.settings.FailureDomain, Address: a.Address(),
		Pools: a.settings.Pools, Kind: a.upstream.Kind(), Load: a.currentLoad(),
		Group: a.settings.Group, Rank: a.settings.Rank,
		LeaseMs: uint32(a.settings.Lease.D().Milliseconds()),
	}
}

// pollLoad queries the upstream for its load once per announce interval.
func (a *Agent) pollLoad(ctx context.Context) {
	tick := time.NewTicker(a.settings.AnnounceInterval.D())
	defer tick.Stop()
	for {
		if l, err := a.upstream.Load(ctx); err == nil {
			a.load.Store(l)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// currentLoad combines the agent's own queue counts, which are exact, with the values that
// only the upstream knows, which lag. Requests that are queued inside the upstream were
// sent by this agent and are included in Running.
//
// The sequence number and the counts are taken under one lock, so that a load with a
// higher number never holds older counts. Entries keep the load with the highest number
// until the next reply or report.
func (a *Agent) currentLoad() *wire.Load {
	a.loadMu.Lock()
	defer a.loadMu.Unlock()
	running, waiting := a.runner.Counts()
	a.loadSeq++
	l := &wire.Load{
		Seq:     a.loadSeq,
		Running: uint32(running),
		Waiting: uint32(waiting),
		Slots:   uint32(a.queue.get().Slots),
		RunUs:   uint32(min(a.runner.MeanRun().Microseconds(), math.MaxUint32)),
	}
	if r := a.load.Load(); r != nil {
		l.PendingTokens = r.PendingTokens
		l.CachePermille = r.CachePermille
	}
	return l
}
