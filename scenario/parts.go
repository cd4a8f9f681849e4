package scenario

import (
	"context"

	"github.com/ansel1/merry/v2"
)

func (w *world) crash(name string) error {
	if p, _ := w.sys.Part(name); !p.Running {
		return merry.Prependf(ErrScript, "%s doesn't run", name)
	}
	w.sys.Kill(name)
	return nil
}

func (w *world) startPart(name string) error { return w.sys.StartPart(context.Background(), name) }

// drain begins a planned stop; drained waits for its end.
func (w *world) drain(name string) error {
	done := make(chan drained, 1)
	w.mu.Lock()
	w.drains[name] = done
	w.mu.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		cut, err := w.sys.Drain(ctx, name)
		done <- drained{cut, err}
	}()
	return nil
}

func (w *world) drained(name string) error {
	w.mu.Lock()
	done := w.drains[name]
	w.mu.Unlock()
	if done == nil {
		return merry.Prependf(ErrScript, "%s was not told to drain", name)
	}
	d := <-done
	if d.err != nil || d.cut != 0 {
		return merry.Prependf(errOther, "planned stop of %s cut %d requests: %v", name, d.cut, d.err)
	}
	return nil
}

// freeze holds a host: its links without a word, and the time of its part.
func (w *world) freeze(name string) error {
	w.sys.Freeze(name)
	w.net.Freeze(name)
	return nil
}

// thaw wakes a host. It finds its links whole and all its timers passed.
func (w *world) thaw(name string) error {
	w.net.Thaw(name)
	w.sys.Thaw(name)
	return nil
}

func (w *world) cmdName(_ bool, args []string) error {
	if len(args) != 2 || args[1] != "leader" {
		return merry.Prepend(ErrScript, "name ALIAS leader")
	}
	leader, err := w.leader()
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.aliases[args[0]] = leader
	return nil
}
