package admit

import "time"

// Queue is what Gate and the naive FIFO have in common.
type Queue interface {
	Offer(now time.Time, w *Work) error
	Start(now time.Time) (start []*Work, refused []Refusal)
	Done(now time.Time, w *Work)
	Running() int
	Waiting() int
}

// FIFO is the naive queue: one bounded line for all work, first come first
// served, without classes, weights or reserved slots. It is the baseline that
// Gate is compared with in tests and measurements.
type FIFO struct {
	settings Settings
	queue    []*Work
	running  int
}

// NewFIFO makes a FIFO; it uses the slots and the bound of the settings.
func NewFIFO(s Settings) *FIFO { return &FIFO{settings: s} }

// Offer queues work, or refuses it.
func (f *FIFO) Offer(now time.Time, w *Work) error {
	if !w.Deadline.IsZero() && !now.Before(w.Deadline) {
		return ErrDeadline
	}
	free := f.running < f.settings.Slots && len(f.queue) == 0
	if !free && len(f.queue) >= f.settings.MaxQueue {
		return ErrQueueFull
	}
	w.state = stateWaiting
	f.queue = append(f.queue, w)
	return nil
}

// Start returns the work that starts now, and work whose deadline has passed.
func (f *FIFO) Start(now time.Time) (start []*Work, refused []Refusal) {
	for len(f.queue) > 0 {
		w := f.queue[0]
		late := !w.Deadline.IsZero() && !now.Before(w.Deadline)
		if !late && f.running >= f.settings.Slots {
			break
		}
		f.queue = f.queue[1:]
		if late {
			w.state = stateOver
			refused = append(refused, Refusal{w, ErrDeadline})
			continue
		}
		w.state = stateRunning
		f.running++
		start = append(start, w)
	}
	return start, refused
}

// Done ends running work, or takes waiting work out of the queue.
func (f *FIFO) Done(_ time.Time, w *Work) {
	switch w.state {
	case stateWaiting:
		for i := range f.queue {
			if f.queue[i] == w {
				f.queue = append(f.queue[:i], f.queue[i+1:]...)
				break
			}
		}
	case stateRunning:
		f.running--
	}
	w.state = stateOver
}

// Running returns how much work runs.
func (f *FIFO) Running() int { return f.running }

// Waiting returns how much work waits.
func (f *FIFO) Waiting() int { return len(f.queue) }
