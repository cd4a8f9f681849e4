package route

import (
	"time"

	"github.com/snipereach/snipereach/wire"
)

const (
	// roundTrip covers the way to an agent and back. What was sent this short a
	// time before an answer came can't be in the answer's load.
	roundTrip = 4 * time.Millisecond
	// maxReportAge is how old a report may be. Own work that was sent earlier is
	// in every report that arrives now.
	maxReportAge = 5 * time.Second
	// usualReportAge is taken for the age of a report where only bounds are known.
	usualReportAge = 500 * time.Millisecond
	// maxSteps bounds the memory of own work for one upstream. Beyond it the
	// oldest is taken as reported, which is true of all but the oldest reports.
	maxSteps = 256
)

// step is one change of the own work in flight.
type step struct {
	at time.Time
	n  int
}

// estimate is the number of requests at an upstream: its last report, corrected
// by own work that the report can't hold.
//
// A report carries no time, and clocks differ between hosts. But reports and
// answers of one incarnation share a sequence number, and an answer is as old
// as its way back. So a report that follows an answer in sequence was made
// after it, and holds all that had arrived by then. Own work since that answer
// is added. Some of it may be counted twice, which errs towards the other
// upstreams; leaving it out would send every entry's next requests to whichever
// upstream looked idle a second ago.
type estimate struct {
	inflight int
	seq      uint64
	reported int
	slots    int
	// run is how long a request runs there; 0 is not known.
	run   time.Duration
	steps []step
	// since is the sum of steps that the report does not hold.
	since int
	// answered is when the last answer came.
	answered time.Time
	// made is when the reported load was true, as far as that is known.
	made time.Time
}

// sent counts a request sent now.
func (e *estimate) sent(now time.Time) {
	e.inflight++
	e.record(now, 1)
}

// ended counts the end of a request now.
func (e *estimate) ended(now time.Time) {
	if e.inflight == 0 {
		return
	}
	e.inflight--
	e.record(now, -1)
}

func (e *estimate) record(now time.Time, n int) {
	if len(e.steps) == maxSteps {
		kept := copy(e.steps, e.steps[maxSteps/2:])
		e.steps = e.steps[:kept]
	}
	e.steps = append(e.steps, step{now, n})
	e.since += n
}

// answer takes the load that came with an answer.
func (e *estimate) answer(now time.Time, l *wire.Load) {
	if e.take(l) {
		e.answered, e.made = now, now
		e.forget(now, now)
	}
}

// report takes a load report of unknown age.
func (e *estimate) report(now time.Time, l *wire.Load) {
	if !e.take(l) {
		return
	}
	e.made = later(e.answered, now.Add(-usualReportAge))
	e.forget(now, later(e.answered, now.Add(-maxReportAge)))
}

// survey takes a load that was true at a known time.
func (e *estimate) survey(made, now time.Time, requests int, seq uint64) {
	if e.made.After(made) {
		// An answer has told a later one.
		return
	}
	if !e.take(&wire.Load{Seq: seq, Running: uint32(requests), Slots: uint32(e.slots), RunUs: uint32(e.run.Microseconds())}) {
		return
	}
	e.made = made
	e.forget(now, made)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// take stores a load unless a later one is known: reports, answers and
// announcements overtake each other.
func (e *estimate) take(l *wire.Load) bool {
	if l == nil || l.Seq <= e.seq {
		return false
	}
	e.seq = l.Seq
	e.reported = int(l.Running) + int(l.Waiting)
	e.slots = int(l.Slots)
	e.run = time.Duration(l.RunUs) * time.Microsecond
	return true
}

// forget drops the steps that a load made at the given time holds: requests
// that had arrived, and answers that had left.
func (e *estimate) forget(now, made time.Time) {
	e.since = 0
	kept := e.steps[:0]
	oldest := now.Add(-maxReportAge)
	for _, s := range e.steps {
		held := made
		if s.n > 0 {
			held = made.Add(-roundTrip)
		}
		if !s.at.After(oldest) || !s.at.After(held) {
			continue
		}
		kept = append(kept, s)
		e.since += s.n
	}
	e.steps = kept
}

// requests is the estimated number of requests waiting and running.
func (e *estimate) requests() int { return max(e.reported+e.since, e.inflight) }

// width is the number of requests that the upstream runs at once.
func (e *estimate) width() int { return max(e.slots, 1) }
