package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wal"
	"github.com/snipereach/snipereach/wire"
)

const (
	// maxDepartureBatch bounds the departures that share one sync.
	maxDepartureBatch = 256
	// minRewriteBytes is the least size of the files from which they are rewritten without what is
	// forgotten.
	minRewriteBytes = 256 << 10
	// departureRetention is how long a departure is kept: as long as the directory remembers it.
	departureRetention = directory.TombstoneTime
)

// ErrDepartures is returned for a departure that is not known to be durable.
var ErrDepartures = merry.Sentinel("departure could not be stored")

// departureLog keeps on disk which upstreams have announced that they leave or are gone.
//
// A departure is synced before it is acknowledged: the upstream stops soon after, and the loss of
// all processes would bring it back from an older file of registrations.
type departureLog struct {
	fs        wal.FS
	log       log.Logger
	wallClock func() time.Time
	queue     chan departureWrite

	// The fields below are owned by run. records is nil until the first write and after a failed
	// one.
	records *wal.Log
	// rewriteAt is the size of the files from which they are rewritten.
	rewriteAt int64
	kept      map[string]*wire.SavedDeparture
	// revived are upstreams that have announced to be up since; their records are stored again.
	revived map[string]bool
}

// departureWrite is a departure to store, or an upstream that is up again.
type departureWrite struct {
	announcement *wire.Announcement
	revived      string
	done         chan error
}

func newDepartureLog(fs wal.FS, l log.Logger, wallClock func() time.Time) *departureLog {
	return &departureLog{
		fs: sharedFolder{fs}, log: l, wallClock: wallClock, queue: make(chan departureWrite, maxDepartureBatch),
		kept: map[string]*wire.SavedDeparture{}, revived: map[string]bool{},
	}
}

// sharedFolder is a data folder that the journal of the same process has locked.
type sharedFolder struct{ wal.FS }

// Lock implements wal.FS.
func (sharedFolder) Lock() (func(), error) { return func() {}, nil }

// load reads the stored departures. It must be called before run. What precedes damage is used;
// other replicas hold what is lost.
func (d *departureLog) load() ([]directory.Departure, error) {
	records, err := wal.OpenLog(d.fs, d.merge)
	if records != nil {
		records.Close()
	}
	d.forgetOld()
	now := d.wallClock()
	var list []directory.Departure
	for _, r := range d.kept {
		age := max(now.Sub(time.UnixMilli(r.AnnouncedAtMs)), 0)
		list = append(list, directory.Departure{Announcement: r.Announcement, Age: age})
	}
	return list, err
}

// merge keeps a record, unless a later incarnation has one.
func (d *departureLog) merge(payload []byte) error {
	r := &wire.SavedDeparture{}
	if err := proto.Unmarshal(payload, r); err != nil || r.Announcement == nil {
		return merry.Prepend(wal.ErrCorrupt, "not a departure")
	}
	d.keep(r)
	return nil
}

func (d *departureLog) keep(r *wire.SavedDeparture) {
	old := d.kept[r.Announcement.Id]
	if old != nil && old.Announcement.Incarnation > r.Announcement.Incarnation {
		return
	}
	d.kept[r.Announcement.Id] = r
}

func (d *departureLog) forgetOld() {
	now := d.wallClock()
	for id, r := range d.kept {
		if now.Sub(time.UnixMilli(r.AnnouncedAtMs)) > departureRetention {
			delete(d.kept, id)
			delete(d.revived, id)
		}
	}
}

// Record implements directory.DepartureLog.
func (d *departureLog) Record(ctx context.Context, a *wire.Announcement) error {
	w := departureWrite{announcement: a, done: make(chan error, 1)}
	select {
	case d.queue <- w:
	case <-ctx.Done():
		return merry.Prepend(ErrDepartures, "too many wait for the disk")
	}
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return merry.Prepend(ErrDepartures, "the disk takes too long")
	}
}

// Revive implements directory.DepartureLog. It doesn't wait.
func (d *departureLog) Revive(id string) {
	select {
	case d.queue <- departureWrite{revived: id}:
	default:
	}
}

// run stores departures until ctx is done. Those that arrive while others are synced share the
// next sync.
func (d *departureLog) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			if d.records != nil {
				d.records.Close()
			}
			return
		case w := <-d.queue:
			d.handleBatch(d.collectBatch(w))
		}
	}
}

func (d *departureLog) collectBatch(first departureWrite) []departureWrite {
	batch := []departureWrite{first}
	for len(batch) < maxDepartureBatch {
		select {
		case w := <-d.queue:
			batch = append(batch, w)
		default:
			return batch
		}
	}
	return batch
}

func (d *departureLog) handleBatch(batch []departureWrite) {
	var records []proto.Message
	for _, w := range batch {
		if w.announcement == nil {
			if d.kept[w.revived] != nil {
				d.revived[w.revived] = true
			}
			continue
		}
		if !d.stored(w.announcement) {
			records = append(records, &wire.SavedDeparture{AnnouncedAtMs: d.wallClock().UnixMilli(), Announcement: w.announcement})
		}
	}
	err := d.store(records)
	if err != nil {
		kernel.Warn(d.log, "Departures could not be stored.", "departures", len(records), "err", err)
		err = merry.Prepend(ErrDepartures, err.Error())
	}
	for _, w := range batch {
		if w.done != nil {
			w.done <- err
		}
	}
}

// stored reports whether the disk says at least as much of an upstream.
func (d *departureLog) stored(a *wire.Announcement) bool {
	r := d.kept[a.Id]
	switch {
	case r == nil:
		return false
	case r.Announcement.Incarnation != a.Incarnation:
		return r.Announcement.Incarnation > a.Incarnation
	case r.Announcement.Phase == wire.Phase_PHASE_GONE:
		return true
	}
	return r.Announcement.Phase == a.Phase && !d.revived[a.Id]
}

// store makes records durable. After a failure, files are begun anew with the next records.
func (d *departureLog) store(records []proto.Message) error {
	if len(records) == 0 {
		return nil
	}
	if err := d.open(); err != nil {
		return err
	}
	if err := d.records.Append(records...); err != nil {
		d.closeFailed()
		return err
	}
	for _, m := range records {
		r := m.(*wire.SavedDeparture)
		d.keep(r)
		delete(d.revived, r.Announcement.Id)
	}
	if d.records.Bytes() > d.rewriteAt {
		if err := d.rewrite(); err != nil {
			kernel.Warn(d.log, "Stored departures could not be rewritten.", "err", err)
			d.closeFailed()
		}
	}
	return nil
}

// open opens the files for writing, if they aren't.
func (d *departureLog) open() error {
	if d.records != nil {
		return nil
	}
	records, err := wal.OpenLog(d.fs, d.merge)
	if err != nil && !errors.Is(err, wal.ErrCorrupt) {
		return err
	}
	d.records = records
	if err := d.rewrite(); err != nil {
		d.closeFailed()
		return err
	}
	return nil
}

func (d *departureLog) closeFailed() {
	d.records.Close()
	d.records = nil
}

// rewrite begins a new file with what is kept and removes the earlier ones.
func (d *departureLog) rewrite() error {
	d.forgetOld()
	records := make([]proto.Message, 0, len(d.kept))
	for _, r := range d.kept {
		records = append(records, r)
	}
	if err := d.records.StartFile(records...); err != nil {
		return err
	}
	if err := d.records.DropBefore(d.records.LastFile()); err != nil {
		return err
	}
	d.rewriteAt = max(minRewriteBytes, 2*d.records.Bytes())
	return nil
}
