package route

import (
	"time"

	"github.com/snipereach/snipereach/wire"
)

const (
	// roundTripTime is the network round-trip time to an agent. A request sent less
	// than this before a response arrived counts as not included in the response's load.
	roundTripTime = 4 * time.Millisecond
	// maxReportAge bounds the age of a load report on arrival: it includes all requests
	// that were sent earlier than that.
	maxReportAge = 5 * time.Second
	// assumedReportAge is the assumed age of a load report on arrival.
	assumedReportAge = 500 * time.Millisecond
	// maxChanges bounds the in-flight changes remembered per upstream. When it is
	// reached, the older half is treated as included in the next load.
	maxChanges = 256
)

// inflightChange is one change of the number of requests that this entry has in
// flight at an upstream.
type inflightChange struct {
	at    time.Time
	delta int
}

// loadEstimate estimates the number of requests at an upstream: its last known load,
// corrected by the requests of this entry that started or ended since.
//
// Load reports carry no timestamp, and clocks differ between hosts. But loads in
// reports and in responses of one incarnation share a sequence number, and a load in
// a response is only as old as the response's way back. So a report that follows a
// response in sequence was made after it and includes every request that had arrived
// by then; only the changes since that response are added. Some may be counted
// twice, which favours the other upstreams. Leaving them out would make all entries
// send their next requests to whichever upstream last reported a low load.
type loadEstimate struct {
	// inflight is the number of requests of this entry.
	inflight int
	// seq is the sequence number of the last known load.
	seq uint64
	// reported is the number of waiting and running requests in that load.
	reported int
	slots    int
	// runTime is how long a request usually runs; 0 if unknown.
	runTime time.Duration
	changes []inflightChange
	// unreported is the sum of the changes that the load does not include.
	unreported int
	// lastResponse is when a load last came with a response.
	lastResponse time.Time
	// loadTime is when the load was true, as far as that is known.
	loadTime time.Time
}

// recordStart counts a request sent now.
func (e *loadEstimate) recordStart(now time.Time) {
	e.inflight++
	e.recordChange(now, 1)
}

// recordEnd counts a request that ended now.
func (e *loadEstimate) recordEnd(now time.Time) {
	if e.inflight == 0 {
		return
	}
	e.inflight--
	e.recordChange(now, -1)
}

func (e *loadEstimate) recordChange(now time.Time, delta int) {
	if len(e.changes) == maxChanges {
		kept := copy(e.changes, e.changes[maxChanges/2:])
		e.changes = e.changes[:kept]
	}
	e.changes = append(e.changes, inflightChange{now, delta})
	e.unreported += delta
}

// applyResponse applies the load that came with a response.
func (e *loadEstimate) applyResponse(now time.Time, l *wire.Load) {
	if e.storeLoad(l) {
		e.lastResponse, e.loadTime = now, now
		e.pruneChanges(now, now)
	}
}

// applyReport applies a load report of unknown age.
func (e *loadEstimate) applyReport(now time.Time, l *wire.Load) {
	if !e.storeLoad(l) {
		return
	}
	e.loadTime = latest(e.lastResponse, now.Add(-assumedReportAge))
	e.pruneChanges(now, latest(e.lastResponse, now.Add(-maxReportAge)))
}

// applySurvey applies a load that was true at loadTime, unless a later one is known.
func (e *loadEstimate) applySurvey(loadTime, now time.Time, requests int, seq uint64) {
	if e.loadTime.After(loadTime) {
		return
	}
	if !e.storeLoad(&wire.Load{Seq: seq, Running: uint32(requests), Slots: uint32(e.slots), RunUs: uint32(e.runTime.Microseconds())}) {
		return
	}
	e.loadTime = loadTime
	e.pruneChanges(now, loadTime)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// storeLoad stores a load and returns true, unless its sequence number is not above
// the stored one: loads in reports, responses and the directory may arrive out of
// order.
func (e *loadEstimate) storeLoad(l *wire.Load) bool {
	if l == nil || l.Seq <= e.seq {
		return false
	}
	e.seq = l.Seq
	e.reported = int(l.Running) + int(l.Waiting)
	e.slots = int(l.Slots)
	e.runTime = time.Duration(l.RunUs) * time.Microsecond
	return true
}

// pruneChanges drops the changes that a load of the given time includes: requests
// that had arrived and responses that had been sent by then. It also drops changes
// older than maxReportAge.
func (e *loadEstimate) pruneChanges(now, loadTime time.Time) {
	e.unreported = 0
	kept := e.changes[:0]
	oldest := now.Add(-maxReportAge)
	for _, c := range e.changes {
		included := loadTime
		if c.delta > 0 {
			included = loadTime.Add(-roundTripTime)
		}
		if !c.at.After(oldest) || !c.at.After(included) {
			continue
		}
		kept = append(kept, c)
		e.unreported += c.delta
	}
	e.changes = kept
}

// requests returns the estimated number of waiting and running requests.
func (e *loadEstimate) requests() int { return max(e.reported+e.unreported, e.inflight) }

// capacity returns the number of requests that the upstream runs concurrently; at
// least 1.
func (e *loadEstimate) capacity() int { return max(e.slots, 1) }
