package entry

import (
	"context"
	"time"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

// drainMargin covers the time an answer with the list is on its way.
const drainMargin = time.Second

// leave takes the entry out of the list of entries, once.
func (e *Entry) leave(ctx context.Context) {
	if !e.draining.CompareAndSwap(false, true) {
		return
	}
	kernel.Info(e.log, "Leaving the list of entries.", "serves_for", e.settings.Keep.D()+drainMargin)
	e.announceAll(ctx, wire.Phase_PHASE_LEAVING)
	close(e.leaving)
}

// drainCallers waits until the entry leaves. Callers keep the list of entries for
// a while and come here until then, so requests are taken for that time and a
// margin; then what is in progress is finished.
func (e *Entry) drainCallers(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-e.leaving:
	}
	select {
	case <-ctx.Done():
		return
	case <-time.After(e.settings.Keep.D() + drainMargin):
	}
	if e.callersHTTP.Shutdown(ctx) != nil {
		return
	}
	e.announceAll(ctx, wire.Phase_PHASE_GONE)
	kernel.Info(e.log, "Drained. No request is in progress.")
	close(e.drained)
}

// Drain implements kernel.Daemon. An entry that an operator told to leave before
// is not made to wait a second time.
func (e *Entry) Drain(ctx context.Context) error {
	e.leave(ctx)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-e.drained:
	}
	if e.control != nil {
		e.control.Drain(ctx)
	}
	return nil
}
