package admit

import (
	"context"
	"sync"
	"time"
)

// Runner drives a Gate for goroutines that wait for their turn.
type Runner struct {
	mu     sync.Mutex
	gate   *Gate
	closed bool
	now    func() time.Time
}

// NewRunner makes a runner. now is the clock; time.Now in production.
func NewRunner(s Settings, now func() time.Time) *Runner {
	return &Runner{gate: NewGate(s), now: now}
}

// turn is one piece of work on its way through a runner.
type turn struct {
	runner *Runner
	work   *Work
	ch     chan error
	over   sync.Once
}

func (t *turn) release() { t.over.Do(func() { t.runner.leave(t.work) }) }

// Enter waits for the work's turn. It returns a function that must be called
// once, when the work is over; or an error, and then the work was not started.
func (r *Runner) Enter(ctx context.Context, w *Work) (release func(), err error) {
	t := &turn{runner: r, work: w, ch: make(chan error, 1)}
	w.Value = t
	if err := r.offer(w); err != nil {
		return nil, err
	}
	if err := r.await(ctx, t); err != nil {
		r.leave(w)
		return nil, err
	}
	return t.release, nil
}

func (r *Runner) await(ctx context.Context, t *turn) error {
	// Most work starts at once and needs no timer.
	select {
	case err := <-t.ch:
		return err
	default:
	}
	timeout, stop := r.deadline(t.work)
	defer stop()
	select {
	case err := <-t.ch:
		return err
	case <-timeout:
		return ErrDeadline
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Runner) deadline(w *Work) (<-chan time.Time, func()) {
	if w.Deadline.IsZero() {
		return nil, func() {}
	}
	t := time.NewTimer(w.Deadline.Sub(r.now()))
	return t.C, func() { t.Stop() }
}

func (r *Runner) offer(w *Work) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return ErrClosed
	}
	if err := r.gate.Offer(r.now(), w); err != nil {
		return err
	}
	r.pump()
	return nil
}

func (r *Runner) leave(w *Work) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gate.Done(r.now(), w)
	r.pump()
}

func (r *Runner) pump() {
	start, refused := r.gate.Start(r.now())
	for _, w := range start {
		w.Value.(*turn).ch <- nil
	}
	for _, x := range refused {
		x.Work.Value.(*turn).ch <- x.Err
	}
}

// Configure changes the settings in flight.
func (r *Runner) Configure(s Settings) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gate.Configure(s)
	r.pump()
}

// Close refuses new work; what waits or runs goes on.
func (r *Runner) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
}

// Counts returns how much work runs and waits.
func (r *Runner) Counts() (running, waiting int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gate.Running(), r.gate.Waiting()
}

// MeanRun returns the mean time that work ran lately; 0 before the first has ended.
func (r *Runner) MeanRun() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gate.MeanRun()
}
