package gateway

import (
	"math"
	"time"
)

const (
	// lateRateWindow is the time constant over which admissions of late requests are counted,
	// about as long as late requests wait.
	lateRateWindow = 1500 * time.Millisecond
	// lateRateMinWait is how long late requests must have been queued without interruption before
	// the rate is known.
	lateRateMinWait = 600 * time.Millisecond
)

// lateAdmissions estimates the rate at which late requests of one priority are admitted while some
// are queued.
//
// During a long overload, requests that can be on time take all permits, and late ones would wait
// in vain until their callers leave. With a known rate they are refused at once instead, and
// their callers may retry later or elsewhere.
type lateAdmissions struct {
	// priority is the rank of the priority.
	priority uint32
	// count is the exponentially decaying number of admissions, as of countedAt.
	count     float64
	countedAt time.Time
	// waitingSince is when late requests began to be queued; zero if none is.
	waitingSince time.Time
}

// lateByPriority has the estimates by rank of priority: late requests of one aren't admitted because
// those of a more urgent one are.
type lateByPriority map[uint32]*lateAdmissions

// of returns the estimate of a priority.
func (l *lateByPriority) of(priority uint32) *lateAdmissions {
	if *l == nil {
		*l = lateByPriority{}
	}
	if (*l)[priority] == nil {
		(*l)[priority] = &lateAdmissions{priority: priority}
	}
	return (*l)[priority]
}

// observeQueue updates since when late requests are queued.
func (l *lateByPriority) observeQueue(now time.Time, queue *waitQueue) {
	for _, known := range *l {
		known.observeQueue(now, queue)
	}
}

// recordAdmission counts the admission of a late request.
func (l *lateAdmissions) recordAdmission(now time.Time) {
	l.count = l.decayedCount(now) + 1
	l.countedAt = now
}

func (l *lateAdmissions) decayedCount(now time.Time) float64 {
	return l.count * math.Exp(-now.Sub(l.countedAt).Seconds()/lateRateWindow.Seconds())
}

// observeQueue updates since when late requests are queued.
func (l *lateAdmissions) observeQueue(now time.Time, queue *waitQueue) {
	switch {
	case !queue.hasLate(now, l.priority):
		l.waitingSince = time.Time{}
	case l.waitingSince.IsZero():
		l.waitingSince = now
	}
}

// rate returns how many late requests are admitted per second. known is false unless late
// requests have been queued for lateRateMinWait.
func (l *lateAdmissions) rate(now time.Time) (perSecond float64, known bool) {
	if l.waitingSince.IsZero() || now.Sub(l.waitingSince) < lateRateMinWait {
		return 0, false
	}
	return l.decayedCount(now) / lateRateWindow.Seconds(), true
}
