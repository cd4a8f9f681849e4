package entry

import (
	"context"
	"time"

	"github.com/snipereach/snipereach/wire"
)

func (e *Entry) announceLoop(ctx context.Context) {
	for {
		start := time.Now()
		phase := wire.Phase_PHASE_UP
		if e.draining.Load() {
			phase = wire.Phase_PHASE_LEAVING
		}
		e.announceAll(ctx, phase)
		interval := e.announcer.Interval(e.settings.AnnounceInterval.D(), e.settings.Lease.D())
		select {
		case <-ctx.Done():
			return
		case <-e.announceNow:
		case <-time.After(time.Until(start.Add(interval))):
		}
	}
}

// announceAll announces this entry to its own directory and to its control
// replicas, which forward the announcement.
func (e *Entry) announceAll(ctx context.Context, phase wire.Phase) {
	msg := e.announcement(phase)
	if reply, err := e.node.Announce(ctx, msg); err == nil {
		e.handleAnnounceReply(reply)
	}
	for _, reply := range e.announcer.Announce(ctx, msg) {
		e.handleAnnounceReply(reply)
	}
}

// handleAnnounceReply raises the entry's incarnation if the directory knows a
// higher one, as it does when the host's clock was set back before a restart.
func (e *Entry) handleAnnounceReply(reply *wire.AnnounceReply) {
	if e.incarnation.HandleReply(e.log, reply) {
		e.claims.RaiseIncarnation()
	}
}

// followDirectory keeps the entry's directory up to date. An entry that is a control
// replica follows all other replicas; any other entry follows one replica.
func (e *Entry) followDirectory(ctx context.Context) {
	if e.control == nil {
		go e.node.FollowOne(ctx, e.controlTargets, e.pool.Conn, e.settings.ID)
		return
	}
	e.node.FollowPeers(ctx, e.settings.replicas(), e.InternalAddress(), e.pool.Conn, e.settings.ID)
}

func (e *Entry) announcement(phase wire.Phase) *wire.Announcement {
	a := &wire.Announcement{
		Id: e.settings.ID, Incarnation: e.incarnation.Number(), Seq: e.seq.Add(1),
		Role: wire.Role_ROLE_ENTRY, Phase: phase,
		FailureDomain: e.settings.FailureDomain,
		Address:       e.InternalAddress(), CallerAddress: e.CallerAddress(),
		LeaseMs:       uint32(e.settings.Lease.D().Milliseconds()),
		ClaimRegister: e.claims.RegisterStatus(),
	}
	if v := e.view.Load(); v != nil {
		a.Revision = v.Revision
		a.Listed = phase == wire.Phase_PHASE_UP && e.rowsConfirmed()
	}
	return a
}

// Revision returns the table revision in force at this entry, or 0 if there is none yet.
func (e *Entry) Revision() uint64 {
	if v := e.view.Load(); v != nil {
		return v.Revision
	}
	return 0
}
