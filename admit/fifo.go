package admit

import "time"

// Queue is the interface that Gate and FIFO have in common.
type Queue interface {
	Offer(now time.Time, w *Work) error
	Start(now time.Time) (start []*Work, refused []Refusal)
	Done(now time.Time, w *Work)
	Running() int
	Waiting() int
}

// FIFO is one bounded first-come-first-served queue without classes, weights or reserved
// slots. It is the baseline that Gate is compared with in tests and benchmarks.
type FIFO struct {
	settings Settings
	queue    []*Work
	running  int
}

// NewFIFO returns a FIFO. It uses Slots and MaxQueue of the settings.
func NewFIFO(s Settings) *FIFO { return &FIFO{settings: s} }

// Offer queues work, or returns ErrDeadline or ErrQueueFull.
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

// Start returns the work that starts now, and waiting work whose deadline has passed.
func (f *FIFO) Start(now time.Time) (start []*Work, refused []Refusal) {
	for len(f.queue) > 0 {
		w := f.queue[0]
		expired := !w.Deadline.IsZero() && !now.Before(w.Deadline)
		if !expired && f.running >= f.settings.Slots {
			break
		}
		f.queue = f.queue[1:]
		if expired {
			w.state = stateDone
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
	w.state = stateDone
}

// Running returns the amount of running work.
func (f *FIFO) Running() int { return f.running }

// Waiting returns the amount of waiting work.
func (f *FIFO) Waiting() int { return len(f.queue) }
