package table

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/wire"
)

// ErrForeignCluster is returned for rows of another cluster than the first.
var ErrForeignCluster = merry.Sentinel("rows come from another cluster")

// Follower keeps an entry's copy of the table from a watch. It never goes back:
// an update below the revision in force changes nothing, and before a
// linearizable read has told how far the table was at the entry's start, no row
// is put in force. It is pure and not safe for use by several goroutines.
type Follower struct {
	rows      map[rowID]*wire.Row
	revision  uint64
	cluster   string
	floor     uint64
	floored   bool
	confirmed time.Time
	// view is the last one that was built, nil if none holds; pending are the
	// rows taken since.
	view    *View
	pending []*wire.Row
}

// NewFollower makes a follower of an entry that has just started.
func NewFollower() *Follower { return &Follower{rows: map[rowID]*wire.Row{}} }

// SetFloor takes the answer to the linearizable read at the entry's start. A
// replica that lags could otherwise serve rows that an operator has replaced
// before this entry even started.
func (f *Follower) SetFloor(cluster string, revision uint64) error {
	if f.cluster != "" && f.cluster != cluster {
		return merry.Prependf(ErrForeignCluster, "%s, not %s", cluster, f.cluster)
	}
	f.cluster = cluster
	f.floor = max(f.floor, revision)
	f.floored = true
	return nil
}

// Revision returns what to ask a watch for: the revision that is held.
func (f *Follower) Revision() uint64 { return f.revision }

// Floored says whether SetFloor was called.
func (f *Follower) Floored() bool { return f.floored }

// Confirmed returns when the rows held were last known to be current; zero if
// they never were.
func (f *Follower) Confirmed() time.Time { return f.confirmed }

// Apply takes an update. It returns the view to put in force, or nil if nothing
// changed or the floor isn't reached.
func (f *Follower) Apply(now time.Time, u *wire.TableUpdate) (*View, error) {
	if f.cluster != "" && u.Cluster != f.cluster {
		return nil, merry.Prependf(ErrForeignCluster, "%s, not %s", u.Cluster, f.cluster)
	}
	if u.Revision < f.revision {
		return nil, nil
	}
	changed := u.Revision > f.revision
	f.take(u)
	if !f.floored || f.revision < f.floor {
		return nil, nil
	}
	if at := now.Add(-time.Duration(u.ConfirmedAgeMs) * time.Millisecond); at.After(f.confirmed) {
		f.confirmed = at
	}
	if !changed {
		return nil, nil
	}
	return f.build()
}

// build makes the view of the rows held, out of the last one where it can: a
// full build looks at all rows for each edit of one.
func (f *Follower) build() (v *View, err error) {
	if f.view == nil {
		v, err = NewView(f.revision, f.list())
	} else {
		v, err = f.view.With(f.revision, f.pending)
	}
	// After an error v is nil, and the next view is built from all rows.
	f.view, f.pending = v, nil
	return v, err
}

func (f *Follower) take(u *wire.TableUpdate) {
	if u.Snapshot {
		f.rows = map[rowID]*wire.Row{}
		f.view, f.pending = nil, nil
	}
	for _, r := range u.Rows {
		id := rowID{r.Kind, r.Key}
		if old := f.rows[id]; old != nil && old.Revision > r.Revision {
			continue
		}
		f.rows[id] = r
		if r.Deleted {
			delete(f.rows, id)
		}
		if f.view != nil {
			f.pending = append(f.pending, r)
		}
	}
	f.revision = u.Revision
}

func (f *Follower) list() []*wire.Row {
	list := make([]*wire.Row, 0, len(f.rows))
	for _, r := range f.rows {
		list = append(list, r)
	}
	return list
}
