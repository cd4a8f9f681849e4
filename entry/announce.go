package entry

import (
	"context"
	"time"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

func (e *Entry) announceLoop(ctx context.Context) {
	for {
		began := time.Now()
		phase := wire.Phase_PHASE_UP
		if e.draining.Load() {
			phase = wire.Phase_PHASE_LEAVING
		}
		e.announceAll(ctx, phase)
		next := e.announcer.Interval(e.settings.AnnounceInterval.D(), e.settings.Lease.D())
		select {
		case <-ctx.Done():
			return
		case <-e.announceNow:
		case <-time.After(time.Until(began.Add(next))):
		}
	}
}

// announceAll announces to this entry's own directory and to the control replicas
// that it uses; they tell the others.
func (e *Entry) announceAll(ctx context.Context, phase wire.Phase) {
	msg := e.announcement(phase)
	if reply, err := e.node.Announce(ctx, msg); err == nil {
		e.announced(reply)
	}
	for _, reply := range e.announcer.Announce(ctx, msg) {
		e.announced(reply)
	}
}

// announced takes up a higher incarnation if the clock of this host was set back
// since an earlier life.
func (e *Entry) announced(reply *wire.AnnounceReply) {
	if !reply.Superseded {
		return
	}
	if !e.life.Supersede(reply.KnownIncarnation) {
		kernel.Warn(e.log, "A later life of this ID is known. Is the ID used twice?", "id", e.settings.ID)
		return
	}
	e.claims.Renumber()
	kernel.Warn(e.log, "This host's clock is behind that of an earlier life. Took a higher incarnation.", "id", e.settings.ID, "incarnation", e.life.Number())
}

// followDirectory keeps the entry's directory up to date. A control replica
// hears what announces to each of the others; another entry follows one of them.
func (e *Entry) followDirectory(ctx context.Context) {
	if e.control == nil {
		go e.node.FollowOne(ctx, e.targets, e.pool.Conn, e.settings.ID)
		return
	}
	e.node.FollowPeers(ctx, e.settings.replicas(), e.InternalAddress(), e.pool.Conn, e.settings.ID)
}

func (e *Entry) announcement(phase wire.Phase) *wire.Announcement {
	a := &wire.Announcement{
		Id: e.settings.ID, Incarnation: e.life.Number(), Seq: e.seq.Add(1),
		Role: wire.Role_ROLE_ENTRY, Phase: phase,
		FailureDomain: e.settings.FailureDomain,
		Address:       e.InternalAddress(), CallerAddress: e.CallerAddress(),
		LeaseMs:       uint32(e.settings.Lease.D().Milliseconds()),
		ClaimRegister: e.claims.Register(),
	}
	if v := e.view.Load(); v != nil {
		a.Revision = v.Revision
		a.Listed = phase == wire.Phase_PHASE_UP && e.rowsConfirmed()
	}
	return a
}

// Revision returns the table revision in force at this entry, 0 before the first.
func (e *Entry) Revision() uint64 {
	if v := e.view.Load(); v != nil {
		return v.Revision
	}
	return 0
}
