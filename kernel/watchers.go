package kernel

import "sync"

// Watchers notifies subscribers of changes. The zero value is ready to use. Each
// subscriber is notified at least once after a change; several changes in a row may be
// merged into one notification.
type Watchers struct {
	mu       sync.Mutex
	channels map[chan struct{}]struct{}
}

// Subscribe adds a subscriber; cancel removes it.
func (w *Watchers) Subscribe() (changed <-chan struct{}, cancel func()) {
	ch := make(chan struct{}, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.channels == nil {
		w.channels = map[chan struct{}]struct{}{}
	}
	w.channels[ch] = struct{}{}
	return ch, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.channels, ch)
	}
}

// Notify notifies all subscribers without blocking.
func (w *Watchers) Notify() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for ch := range w.channels {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// Len returns the number of subscribers.
func (w *Watchers) Len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.channels)
}
