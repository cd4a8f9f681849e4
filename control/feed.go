package control

import (
	"sort"
	"sync/atomic"
	"time"

	"github.com/snipereach/snipereach/wire"
)

// maxKeptChanges is how many changed rows a replica keeps for its watchers. A watcher
// that is further behind gets the whole table.
const maxKeptChanges = 8192

// feed is the state that watchers read without going through the replica's loop.
// Answering thousands of watchers in the loop would delay heartbeats after each edit.
type feed struct {
	state atomic.Pointer[feedState]
	// confirmed is when the rows were last known to be current, as nanoseconds of the
	// replica's monotonic time.
	confirmed atomic.Int64
}

// feedState is immutable. Successive states may share the backing array of changes.
type feedState struct {
	revision uint64
	// floor is the revision after which changes has all changed rows, sorted by revision.
	floor   uint64
	changes []*wire.Row
	ring    *wire.Ring
	ringAt  time.Time
}

// reset initializes the feed at a revision whose earlier changes aren't known.
func (f *feed) reset(revision uint64, ring *wire.Ring, ringAt time.Time) {
	f.state.Store(&feedState{revision: revision, floor: revision, ring: ring, ringAt: ringAt})
}

// add publishes accepted rows and the ring in force.
func (f *feed) add(revision uint64, rows []*wire.Row, ring *wire.Ring, ringAt time.Time) {
	old := f.state.Load()
	next := &feedState{revision: revision, floor: old.floor, ring: ring, ringAt: ringAt}
	next.changes = append(old.changes, rows...)
	if extra := len(next.changes) - maxKeptChanges; extra > maxKeptChanges/4 {
		// All rows of a revision are dropped together, so that no watcher gets a
		// part of an edit.
		newFloor := next.changes[extra-1].Revision
		first := sort.Search(len(next.changes), func(i int) bool { return next.changes[i].Revision > newFloor })
		next.floor = newFloor
		next.changes = append([]*wire.Row(nil), next.changes[first:]...)
	}
	f.state.Store(next)
}

// since returns the rows changed after a revision; ok is false if they aren't all kept
// or the revision isn't known here.
func (s *feedState) since(revision uint64) (rows []*wire.Row, ok bool) {
	if revision < s.floor || revision == 0 || revision > s.revision {
		return nil, false
	}
	i := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Revision > revision })
	return s.changes[i:], true
}

// setConfirmedAt records when the rows were last known to be current.
func (f *feed) setConfirmedAt(at time.Duration) { f.confirmed.Store(int64(at)) }

// confirmedAge returns the time since the rows were last known to be current.
func (f *feed) confirmedAge(now time.Duration) time.Duration {
	return max(now-time.Duration(f.confirmed.Load()), 0)
}

// maxCurrentAge is the age below which a replica's rows count as current. A leader
// confirms them with each heartbeat.
const maxCurrentAge = time.Second

// isCurrent reports whether the age is below maxCurrentAge.
func (f *feed) isCurrent(now time.Duration) bool { return f.confirmedAge(now) < maxCurrentAge }
