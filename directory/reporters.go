package directory

import (
	"context"
	"sync"
	"time"
)

const (
	// reportDelay is the time for which observations are batched: those of one event come within
	// milliseconds.
	reportDelay = 5 * time.Millisecond
	// ReportTimeout limits one call, reportRetryDelay is the pause after a failed one, and
	// reportAttempts is the number of calls until the reporter waits for the next notification.
	ReportTimeout    = time.Second
	reportRetryDelay = 150 * time.Millisecond
	reportAttempts   = 4
)

// ReportFunc tells a replica the next of what was observed after a version. It returns the version up to
// which the replica has now been told, and whether it sent anything. It logs its own errors.
type ReportFunc func(ctx context.Context, replica string, after uint64) (upTo uint64, sent bool, err error)

// Reporters tell all control replicas what this process has observed. All replicas are told directly, so
// that the loss of some of them, or of their leader, keeps nothing from the other processes. It is safe for
// concurrent use.
type Reporters struct {
	report ReportFunc

	mu sync.Mutex
	// byReplica holds the reporters by the replica's address.
	byReplica map[string]*reporter
}

// NewReporters returns reporters that call report.
func NewReporters(report ReportFunc) *Reporters {
	return &Reporters{report: report, byReplica: map[string]*reporter{}}
}

// reporter reports to one replica. Reporters.mu guards its version.
type reporter struct {
	changed chan struct{}
	// version is the version up to which the replica has been told.
	version uint64
}

func (r *reporter) notify() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// Run reports to the replicas until ctx is done. The list that replicas returns may change.
func (r *Reporters) Run(ctx context.Context, replicas func() []string) {
	FollowList(ctx, replicas, r.follow)
}

// Notify has the reporters look for new observations.
func (r *Reporters) Notify() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, one := range r.byReplica {
		one.notify()
	}
}

// Repeat has everything reported to a replica again, because it may have restarted and know nothing.
func (r *Reporters) Repeat(replica string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if one := r.byReplica[replica]; one != nil {
		one.version = 0
		one.notify()
	}
}

// follow reports to one replica until ctx is done.
func (r *Reporters) follow(ctx context.Context, replica string) {
	one := &reporter{changed: make(chan struct{}, 1)}
	one.notify()
	r.mu.Lock()
	r.byReplica[replica] = one
	r.mu.Unlock()
	defer r.drop(replica, one)
	for {
		select {
		case <-ctx.Done():
			return
		case <-one.changed:
		}
		pause(ctx, reportDelay)
		for attempt := 0; attempt < reportAttempts && !r.reportPending(ctx, replica, one); attempt++ {
			pause(ctx, reportRetryDelay)
		}
	}
}

func (r *Reporters) drop(replica string, one *reporter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byReplica[replica] == one {
		delete(r.byReplica, replica)
	}
}

// reportPending tells a replica everything that it hasn't been told yet. It returns false if a call failed.
func (r *Reporters) reportPending(ctx context.Context, replica string, one *reporter) bool {
	for ctx.Err() == nil {
		r.mu.Lock()
		after := one.version
		r.mu.Unlock()
		upTo, sent, err := r.report(ctx, replica, after)
		if err != nil {
			return false
		}
		r.markReported(one, after, upTo)
		if !sent {
			return true
		}
	}
	return true
}

// markReported notes that a replica was told everything up to a version, unless Repeat has reset the reporter
// since the call began.
func (r *Reporters) markReported(one *reporter, after, upTo uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if one.version == after {
		one.version = upTo
	}
}

// pause waits for d or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
