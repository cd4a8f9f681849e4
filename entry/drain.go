package entry

import (
	"context"
	"time"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

// drainMargin covers the time that a response with the list of entries is in transit.
const drainMargin = time.Second

// startDrain removes the entry from the list of entries. Further calls do nothing.
func (e *Entry) startDrain(ctx context.Context) {
	if !e.draining.CompareAndSwap(false, true) {
		return
	}
	kernel.Info(e.log, "Drain started. The entry leaves the list of entries.", "serves_for", e.settings.EntryListTTL.D()+drainMargin)
	e.announceAll(ctx, wire.Phase_PHASE_LEAVING)
	close(e.drainStarted)
}

// drainCallers waits for the start of the drain and then carries it out. Callers may
// use a cached list of entries for Settings.EntryListTTL, so the entry accepts requests for
// that time and a margin; then it finishes the requests in progress.
func (e *Entry) drainCallers(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-e.drainStarted:
	}
	select {
	case <-ctx.Done():
		return
	case <-time.After(e.settings.EntryListTTL.D() + drainMargin):
	}
	if e.callerServer.Shutdown(ctx) != nil {
		return
	}
	e.announceAll(ctx, wire.Phase_PHASE_GONE)
	kernel.Info(e.log, "Drain finished. No requests are in progress.")
	close(e.drained)
}

// Drain implements kernel.Daemon. If an operator has started the drain before, Drain
// waits only for its end.
func (e *Entry) Drain(ctx context.Context) error {
	e.startDrain(ctx)
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
