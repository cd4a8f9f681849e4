package table

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/wire"
)

// ErrForeignCluster is returned for an update from a cluster other than the one followed.
var ErrForeignCluster = merry.Sentinel("rows come from another cluster")

// Follower keeps an entry's copy of the table up to date from a watch. The copy never goes back:
// updates below the current revision are ignored, and no row takes effect until the copy has reached
// the floor, the revision that a linearizable read returned at the entry's start. Follower is pure
// and not safe for concurrent use.
type Follower struct {
	rows        map[rowID]*wire.Row
	revision    uint64
	cluster     string
	floor       uint64
	hasFloor    bool
	confirmedAt time.Time
	// view is the latest one, nil if the next must be built from all rows; pending has the rows that
	// were received after it was built.
	view    *View
	pending []*wire.Row
}

// NewFollower returns the follower of an entry that has just started.
func NewFollower() *Follower { return &Follower{rows: map[rowID]*wire.Row{}} }

// SetFloor sets the floor from a linearizable read at the entry's start. Without it, a lagging replica
// could bring rows into effect that operators had replaced before the entry started. It returns
// ErrForeignCluster if the cluster isn't the one followed.
func (f *Follower) SetFloor(cluster string, revision uint64) error {
	if f.cluster != "" && f.cluster != cluster {
		return merry.Prependf(ErrForeignCluster, "%s, not %s", cluster, f.cluster)
	}
	f.cluster = cluster
	f.floor = max(f.floor, revision)
	f.hasFloor = true
	return nil
}

// Revision returns the revision of the rows held, after which a watch should continue.
func (f *Follower) Revision() uint64 { return f.revision }

// HasFloor reports whether SetFloor has succeeded.
func (f *Follower) HasFloor() bool { return f.hasFloor }

// ConfirmedAt returns when the rows held were last known to be current, or the zero time if they never
// were.
func (f *Follower) ConfirmedAt() time.Time { return f.confirmedAt }

// Apply applies an update. It returns the view that takes effect, or nil if nothing changed or the
// floor hasn't been reached.
func (f *Follower) Apply(now time.Time, u *wire.TableUpdate) (*View, error) {
	if f.cluster != "" && u.Cluster != f.cluster {
		return nil, merry.Prependf(ErrForeignCluster, "%s, not %s", u.Cluster, f.cluster)
	}
	if u.Revision < f.revision {
		return nil, nil
	}
	changed := u.Revision > f.revision
	f.applyRows(u)
	if !f.hasFloor || f.revision < f.floor {
		return nil, nil
	}
	if at := now.Add(-time.Duration(u.ConfirmedAgeMs) * time.Millisecond); at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
	if !changed {
		return nil, nil
	}
	return f.buildView()
}

// buildView returns the view of the rows held. It derives it from the previous view if there is one,
// since building it anew looks at all rows.
func (f *Follower) buildView() (v *View, err error) {
	if f.view == nil {
		v, err = NewView(f.revision, f.rowList())
	} else {
		v, err = f.view.WithChanges(f.revision, f.pending)
	}
	// After an error v is nil, so the next view is built from all rows.
	f.view, f.pending = v, nil
	return v, err
}

func (f *Follower) applyRows(u *wire.TableUpdate) {
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

func (f *Follower) rowList() []*wire.Row {
	list := make([]*wire.Row, 0, len(f.rows))
	for _, r := range f.rows {
		list = append(list, r)
	}
	return list
}
