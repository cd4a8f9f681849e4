package control

import (
	"sort"
	"sync/atomic"
	"time"

	"github.com/snipereach/snipereach/wire"
)

// keptChanges is how many changed rows a replica keeps for its watchers. One
// that lags further gets the whole table.
const keptChanges = 8192

// feed is what watchers read without going through the replica's loop. With
// thousands of them, a loop that answered each one would be late for its own
// heartbeats after every edit.
type feed struct {
	state atomic.Pointer[feedState]
	// confirmed is when the rows were last known to be current, by the replica's
	// monotonic time.
	confirmed atomic.Int64
}

// feedState is immutable; the next one shares the array of changes.
type feedState struct {
	revision uint64
	// floor: changes after it are all in changes, by revision.
	floor   uint64
	changes []*wire.Row
	ring    *wire.Ring
	ringAt  time.Time
}

// reset begins a feed from a state whose earlier changes aren't known.
func (f *feed) reset(revision uint64, ring *wire.Ring, ringAt time.Time) {
	f.state.Store(&feedState{revision: revision, floor: revision, ring: ring, ringAt: ringAt})
}

// add publishes accepted rows and the ring in force.
func (f *feed) add(revision uint64, rows []*wire.Row, ring *wire.Ring, ringAt time.Time) {
	old := f.state.Load()
	next := &feedState{revision: revision, floor: old.floor, ring: ring, ringAt: ringAt}
	next.changes = append(old.changes, rows...)
	if extra := len(next.changes) - keptChanges; extra > keptChanges/4 {
		// All rows of one revision go together: a watcher must not get half of
		// an edit.
		cut := next.changes[extra-1].Revision
		kept := sort.Search(len(next.changes), func(i int) bool { return next.changes[i].Revision > cut })
		next.floor = cut
		next.changes = append([]*wire.Row(nil), next.changes[kept:]...)
	}
	f.state.Store(next)
}

// since returns the changes after a revision; ok is false if they aren't all kept.
func (s *feedState) since(revision uint64) (rows []*wire.Row, ok bool) {
	if revision < s.floor || revision == 0 || revision > s.revision {
		return nil, false
	}
	i := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Revision > revision })
	return s.changes[i:], true
}

func (f *feed) confirm(at time.Duration) { f.confirmed.Store(int64(at)) }

// age is how long ago the rows were known to be current.
func (f *feed) age(now time.Duration) time.Duration {
	return max(now-time.Duration(f.confirmed.Load()), 0)
}

// currentAge is the age up to which a replica counts as current: a leader confirms it
// with each heartbeat.
const currentAge = time.Second

// current says whether the rows were known to be current lately.
func (f *feed) current(now time.Duration) bool { return f.age(now) < currentAge }
