package kernel

import "sync"

// Watchers are those that wait for something to change. The zero value has none. Each is woken at
// least once after a change; several changes in a row may wake it once.
type Watchers struct {
	mu   sync.Mutex
	open map[chan struct{}]struct{}
}

// Subscribe adds a watcher; cancel removes it.
func (w *Watchers) Subscribe() (changed <-chan struct{}, cancel func()) {
	ch := make(chan struct{}, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.open == nil {
		w.open = map[chan struct{}]struct{}{}
	}
	w.open[ch] = struct{}{}
	return ch, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.open, ch)
	}
}

// Wake wakes all watchers, and waits for none.
func (w *Watchers) Wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for ch := range w.open {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// Len is how many watchers there are.
func (w *Watchers) Len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.open)
}
