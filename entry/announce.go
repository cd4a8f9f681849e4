package entry

import (
	"context"
	"sync"
	"time"

	"github.com/snipereach/snipereach/wire"
)

const announceTimeout = time.Second

func (e *Entry) announceLoop(ctx context.Context) {
	tick := time.NewTicker(e.settings.AnnounceInterval.D())
	defer tick.Stop()
	for {
		phase := wire.Phase_PHASE_UP
		if e.draining.Load() {
			phase = wire.Phase_PHASE_LEAVING
		}
		e.announceAll(ctx, phase)
		select {
		case <-ctx.Done():
			return
		case <-e.announceNow:
		case <-tick.C:
		}
	}
}

func (e *Entry) announceAll(ctx context.Context, phase wire.Phase) {
	msg := e.announcement(phase)
	_, _ = e.node.Announce(ctx, msg)
	var wg sync.WaitGroup
	for _, addr := range e.settings.replicas() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(ctx, announceTimeout)
			defer cancel()
			_, _ = wire.NewDRPCDirectoryClient(e.pool.Conn(ctx, addr)).Announce(ctx, msg)
		}()
	}
	wg.Wait()
}

func (e *Entry) announcement(phase wire.Phase) *wire.Announcement {
	a := &wire.Announcement{
		Id: e.settings.ID, Incarnation: e.incarnation, Seq: e.seq.Add(1),
		Role: wire.Role_ROLE_ENTRY, Phase: phase,
		FailureDomain: e.settings.FailureDomain,
		Address:       e.InternalAddress(), CallerAddress: e.CallerAddress(),
		LeaseMs: uint32(e.settings.Lease.D().Milliseconds()),
	}
	if v := e.view.Load(); v != nil {
		a.Revision = v.Revision
		a.Listed = phase == wire.Phase_PHASE_UP && e.rowsConfirmed()
	}
	return a
}
