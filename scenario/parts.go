package scenario

import (
	"context"

	"github.com/ansel1/merry/v2"
)

func (w *world) killPart(name string) error {
	if p, _ := w.sys.Part(name); !p.Running {
		return merry.Prependf(ErrScript, "%s is not running", name)
	}
	w.sys.Kill(name)
	return nil
}

func (w *world) startPart(name string) error { return w.sys.StartPart(context.Background(), name) }

// beginDrain starts a graceful stop; waitDrained waits for its end.
func (w *world) beginDrain(name string) error {
	done := make(chan drainResult, 1)
	w.mu.Lock()
	w.drains[name] = done
	w.mu.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		cut, err := w.sys.Drain(ctx, name)
		done <- drainResult{cut, err}
	}()
	return nil
}

func (w *world) waitDrained(name string) error {
	w.mu.Lock()
	done := w.drains[name]
	w.mu.Unlock()
	if done == nil {
		return merry.Prependf(ErrScript, "no drain of %s was started", name)
	}
	d := <-done
	if d.err != nil || d.cutRequests != 0 {
		return merry.Prependf(errMismatch, "drain of %s cut %d requests: %v", name, d.cutRequests, d.err)
	}
	return nil
}

// freezePart suspends a part and its links, as if its host were paused: connections
// stay open and carry nothing.
func (w *world) freezePart(name string) error {
	w.sys.Freeze(name)
	w.net.Freeze(name)
	return nil
}

// thawPart resumes a frozen part. Its connections are still open, and its timers
// have expired.
func (w *world) thawPart(name string) error {
	w.net.Thaw(name)
	w.sys.Thaw(name)
	return nil
}

func (w *world) cmdName(_ bool, args []string) error {
	if len(args) != 2 || args[1] != "leader" {
		return merry.Prepend(ErrScript, "name ALIAS leader")
	}
	leader, err := w.findLeader()
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.aliases[args[0]] = leader
	return nil
}
