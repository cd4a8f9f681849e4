package admit

import (
	"context"
	"sync"
	"time"
)

// Runner drives a Gate for goroutines that wait for a slot. It is safe for concurrent use.
type Runner struct {
	mu     sync.Mutex
	gate   *Gate
	closed bool
	now    func() time.Time
}

// NewRunner returns a Runner. now is the clock, time.Now in production.
func NewRunner(s Settings, now func() time.Time) *Runner {
	return &Runner{gate: NewGate(s), now: now}
}

// waiter is one call of Acquire.
type waiter struct {
	runner *Runner
	work   *Work
	result chan error
	once   sync.Once
}

func (t *waiter) release() { t.once.Do(func() { t.runner.done(t.work) }) }

// Acquire waits for a slot. On success it returns a function that releases the slot and must
// be called when the work has ended. On error the work was not started.
func (r *Runner) Acquire(ctx context.Context, w *Work) (release func(), err error) {
	t := &waiter{runner: r, work: w, result: make(chan error, 1)}
	w.Value = t
	if err := r.offer(w); err != nil {
		return nil, err
	}
	if err := r.await(ctx, t); err != nil {
		r.done(w)
		return nil, err
	}
	return t.release, nil
}

func (r *Runner) await(ctx context.Context, t *waiter) error {
	// Most work starts at once and needs no timer.
	select {
	case err := <-t.result:
		return err
	default:
	}
	timeout, stop := r.deadlineTimer(t.work)
	defer stop()
	select {
	case err := <-t.result:
		return err
	case <-timeout:
		return ErrDeadline
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Runner) deadlineTimer(w *Work) (<-chan time.Time, func()) {
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
	r.dispatch()
	return nil
}

func (r *Runner) done(w *Work) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gate.Done(r.now(), w)
	r.dispatch()
}

func (r *Runner) dispatch() {
	start, refused := r.gate.Start(r.now())
	for _, w := range start {
		w.Value.(*waiter).result <- nil
	}
	for _, x := range refused {
		x.Work.Value.(*waiter).result <- x.Err
	}
}

// Configure changes the settings; see Gate.Configure.
func (r *Runner) Configure(s Settings) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gate.Configure(s)
	r.dispatch()
}

// Close refuses new work with ErrClosed. Waiting and running work goes on.
func (r *Runner) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
}

// Counts returns the amount of running and waiting work, not counting tickets that wait.
func (r *Runner) Counts() (running, waiting int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gate.Running(), r.gate.Waiting()
}

// MeanRun returns the smoothed run time, or 0 before the first run has ended.
func (r *Runner) MeanRun() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gate.MeanRun()
}
