package load

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	resendDelay = 100 * time.Millisecond
	// maxConnectFailures bounds how often a request that cannot connect tries
	// another entry.
	maxConnectFailures = 5
	progressInterval   = time.Second
	dialTimeout        = 2 * time.Second
)

// Options of a run.
type Options struct {
	// Progress receives a progress line per second; nil disables it.
	Progress io.Writer
	// AnyAddress permits entries outside the loopback.
	AnyAddress bool
	// Runs returns how often the upstreams ran each request, by run key. If it is
	// nil, the report has no audit.
	Runs func() map[string]int
}

// Runner sends a workload and collects its results.
type Runner struct {
	settings *Settings
	opts     Options
	id       string
	client   *http.Client
	entries  *entries
	began    time.Time
	stats    *stats
	inFlight atomic.Int64
	wg       sync.WaitGroup

	mu      sync.Mutex
	records []requestRecord
}

// requestRecord is the data about a completed request that the audit needs.
type requestRecord struct {
	key        string
	idempotent bool
	outcome    Outcome
	verdict    Verdict
}

// NewRunner returns a runner for settings that have passed Check. It returns
// ErrNotLoopback for an entry outside the loopback unless Options.AnyAddress is set.
func NewRunner(s *Settings, o Options) (*Runner, error) {
	allow := CheckLoopback
	if o.AnyAddress {
		allow = func(string) error { return nil }
	}
	for _, a := range s.Entries {
		if err := allow(a); err != nil {
			return nil, err
		}
	}
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConns: s.MaxInFlight, MaxIdleConnsPerHost: s.MaxInFlight, IdleConnTimeout: time.Minute,
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, DisableCompression: true,
		},
		// A redirect could lead outside the loopback.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &Runner{
		settings: s, opts: o, id: rand.Text()[:8], client: client,
		entries: &entries{client: client, seeds: s.Entries, allow: allow},
		stats:   newStats(s),
	}, nil
}

// Run sends the workload and returns the report. It stops sending at the end of the
// plan or when ctx is done. After the plan it waits up to Settings.Drain for
// outstanding answers; once ctx is done it cancels them.
func (r *Runner) Run(ctx context.Context) (*Report, error) {
	defer r.client.CloseIdleConnections()
	if err := r.entries.fetch(ctx); err != nil {
		return nil, err
	}
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	r.began = time.Now()
	stop := r.progress()
	r.sendAll(ctx, workCtx)
	r.drain(ctx, cancel)
	stop()
	return r.report(), nil
}

// sendAll starts each request at its intended time without waiting for answers
// (open loop), so that a slow system gets no less load. Latency is measured from
// the intended start, even if the tool itself starts the request late.
func (r *Runner) sendAll(ctx, workCtx context.Context) {
	plan := NewPlan(r.settings)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		a, ok := plan.Next()
		if !ok {
			return
		}
		timer.Reset(time.Until(r.began.Add(a.Due)))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		r.start(workCtx, a)
	}
}

func (r *Runner) start(workCtx context.Context, a Arrival) {
	c := &call{Arrival: a, key: r.id + "-" + strconv.Itoa(a.Number), due: r.began.Add(a.Due)}
	if int(r.inFlight.Add(1)) > r.settings.MaxInFlight {
		r.inFlight.Add(-1)
		r.stats.add(c, attemptResult{outcome: Unsent}, 0, time.Now())
		return
	}
	r.wg.Go(func() {
		defer r.inFlight.Add(-1)
		r.execute(workCtx, c)
	})
}

// execute sends one request until it is finished and records the result.
func (r *Runner) execute(ctx context.Context, c *call) {
	rep, attempts := r.sendWithRetries(ctx, c)
	r.stats.add(c, rep, attempts, time.Now())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, requestRecord{c.key, c.Class.Idempotent, rep.outcome, rep.verdict})
}

func (r *Runner) sendWithRetries(ctx context.Context, c *call) (rep attemptResult, attempts int) {
	entry, connectFailures, mayHaveRun := "", 0, false
	for {
		next, err := r.entries.pick(ctx, entry)
		if err != nil {
			return withdrawNotRun(attemptResult{outcome: NotRun, reason: reasonUnreachable}, mayHaveRun), attempts
		}
		entry = next
		rep = c.attempt(ctx, r.client, entry)
		if rep.reason == reasonUnreachable && connectFailures < maxConnectFailures && ctx.Err() == nil {
			connectFailures++
			continue
		}
		attempts++
		if rep.outcome != Unknown || attempts > c.Class.Resends || !waitBeforeResend(ctx) {
			// Without an idempotency key, NotRun covers only the last attempt.
			return withdrawNotRun(rep, mayHaveRun && !c.Class.Keys), attempts
		}
		mayHaveRun = true
	}
}

// withdrawNotRun turns NotRun into Unknown if an earlier attempt may have run.
func withdrawNotRun(rep attemptResult, mayHaveRun bool) attemptResult {
	if mayHaveRun && rep.outcome == NotRun {
		rep.outcome = Unknown
	}
	return rep
}

func waitBeforeResend(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(resendDelay):
		return true
	}
}

// drain waits for outstanding requests and cancels those that are left after
// Settings.Drain or when ctx is done.
func (r *Runner) drain(ctx context.Context, cancel context.CancelFunc) {
	done := make(chan struct{})
	go func() {
		r.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return
	case <-ctx.Done():
	case <-time.After(r.settings.Drain.D()):
	}
	cancel()
	<-done
}

// progress prints a line per progressInterval until stop is called.
func (r *Runner) progress() (stop func()) {
	if r.opts.Progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		tick := time.NewTicker(progressInterval)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
				fmt.Fprintln(r.opts.Progress, r.progressLine())
			}
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}

func (r *Runner) progressLine() string {
	t := r.stats.totals()
	return fmt.Sprintf("%5.0fs of %.0fs  in flight %5d  answered %7d  not run %6d  unknown %5d  unsent %5d  wrong %d",
		time.Since(r.began).Seconds(), r.settings.Duration.D().Seconds(), r.inFlight.Load(),
		t[Answered], t[NotRun], t[Unknown], t[Unsent], r.stats.wrongAnswers())
}
