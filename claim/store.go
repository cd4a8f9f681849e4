package claim

import (
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/wal"
	"github.com/snipereach/snipereach/wire"
)

// ErrStore is returned if the register's data folder can't be used.
var ErrStore = merry.Sentinel("claim data folder can't be used")

const (
	// filesPerTTL is the number of files that are started per time to live. A file is
	// removed when a time to live has passed since it was closed.
	filesPerTTL = 4
	// maxSyncDelay is how long a write that no reply waits for may be delayed, to share
	// the sync of a grant.
	maxSyncDelay = 5 * time.Millisecond
	// MaxFolderBytes is the size of a data folder from which on its register grants no new keys.
	MaxFolderBytes = 512 << 20
)

// batch is a set of records that are made durable by one sync.
type batch struct {
	recs []proto.Message
	done chan struct{}
	err  error
}

// wait returns nil once the records are durable, or the error that prevented it.
func (b *batch) wait() error {
	if b == nil {
		return nil
	}
	<-b.done
	return b.err
}

// store writes a register's records to its data folder. Records that arrive during a
// sync are combined into one batch for the next sync.
type store struct {
	log *wal.Log
	now func() time.Time
	ttl time.Duration
	// onSynced receives the result of each write or rotation, and the size of the
	// folder.
	onSynced func(err error, bytes int64)

	// head is the last head that was written. It, fileStarted, closedAt and log are
	// used by the writing goroutine only.
	head        *wire.ClaimStored
	fileStarted time.Time
	// closedAt holds when each file but the last was closed, by file number.
	closedAt map[uint64]time.Time

	mu      sync.Mutex
	queued  *batch
	syncing *batch
	stopped bool
	wake    chan struct{}
	done    chan struct{}
}

// openStore reads a data folder. If its records can't be trusted, damaged is the
// reason; st is then nil, as for an empty folder.
func openStore(fs wal.FS) (l *wal.Log, st *StoredState, damaged error, err error) {
	st = &StoredState{}
	l, err = wal.OpenLog(fs, func(payload []byte) error {
		rec := &wire.ClaimStored{}
		if err := proto.Unmarshal(payload, rec); err != nil {
			return merry.Prepend(wal.ErrCorrupt, err.Error())
		}
		st.AddRecord(rec)
		return nil
	})
	switch {
	case errors.Is(err, wal.ErrCorrupt):
		return l, nil, err, nil
	case err != nil:
		return nil, nil, nil, merry.Prepend(ErrStore, err.Error())
	case l.LastFile() == 0:
		return l, nil, nil, nil
	case st.head == nil || l.FirstFile() > st.oldestFile:
		return l, nil, merry.Prepend(wal.ErrCorrupt, "the first file is missing"), nil
	}
	return l, st, nil, nil
}

// newStore starts a new file with all records of the register, and removes the
// earlier files.
func newStore(l *wal.Log, recs []*wire.ClaimStored, ttl time.Duration, now func() time.Time) (*store, error) {
	s := &store{
		log: l, now: now, ttl: ttl, fileStarted: now(), closedAt: map[uint64]time.Time{},
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	first := l.LastFile() + 1
	var msgs []proto.Message
	for _, rec := range recs {
		if h := rec.GetHead(); h != nil {
			h.Oldest = first
			s.head = rec
		}
		msgs = append(msgs, rec)
	}
	if err := l.StartFile(msgs...); err != nil {
		return s, err
	}
	return s, l.DropBefore(first)
}

// stoppedBatch returns a batch that has failed because the store is closed.
func stoppedBatch() *batch {
	b := &batch{done: make(chan struct{}), err: merry.Prepend(ErrStore, "the process is stopping")}
	close(b.done)
	return b
}

// enqueue adds records to the next batch. It returns the batch after which all records
// so far are durable, or nil if they are. With urgent, the batch is written at once;
// otherwise within maxSyncDelay, or with the next urgent one.
func (s *store) enqueue(recs []*wire.ClaimStored, urgent bool) *batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return stoppedBatch()
	}
	if len(recs) > 0 && s.queued == nil {
		s.queued = &batch{done: make(chan struct{})}
		if !urgent {
			time.AfterFunc(maxSyncDelay, s.signal)
		}
	}
	for _, rec := range recs {
		s.queued.recs = append(s.queued.recs, rec)
	}
	if s.queued == nil {
		return s.syncing
	}
	if urgent {
		s.signal()
	}
	return s.queued
}

// signal wakes run.
func (s *store) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run writes batches until the store is closed. The ticker rotates files also while
// no records are written: a folder at MaxFolderBytes would otherwise stay full.
func (s *store) run() {
	defer close(s.done)
	tick := time.NewTicker(s.ttl / filesPerTTL)
	defer tick.Stop()
	for {
		select {
		case <-s.wake:
		case <-tick.C:
			s.onSynced(s.rotateIfDue(), s.log.Bytes())
		}
		// stopped is read before the last batch is taken: records added before the stop are
		// still written, and none are added after it.
		s.mu.Lock()
		stopped := s.stopped
		s.mu.Unlock()
		for b := s.takeBatch(); b != nil; b = s.takeBatch() {
			b.err = s.writeBatch(b.recs)
			s.onSynced(b.err, s.log.Bytes())
			close(b.done)
		}
		if stopped {
			return
		}
	}
}

func (s *store) takeBatch() *batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.syncing, s.queued = s.queued, nil
	return s.syncing
}

func (s *store) writeBatch(recs []proto.Message) error {
	if err := s.log.Append(recs...); err != nil {
		return err
	}
	for _, rec := range recs {
		if c := rec.(*wire.ClaimStored); c.GetHead() != nil {
			s.head = c
		} else {
			s.head.Sequence = max(s.head.Sequence, c.Sequence)
		}
	}
	return s.rotateIfDue()
}

func (s *store) rotateIfDue() error {
	if s.now().Sub(s.fileStarted) < s.ttl/filesPerTTL {
		return nil
	}
	return s.rotate()
}

// rotate starts a new file and removes files whose records have all expired. A record
// expires at most one time to live after it was written.
func (s *store) rotate() error {
	now := s.now()
	s.closedAt[s.log.LastFile()] = now
	oldest := s.log.LastFile() + 1
	for n, at := range s.closedAt {
		if now.Sub(at) < s.ttl {
			oldest = min(oldest, n)
			continue
		}
		delete(s.closedAt, n)
	}
	// This is the head that was written last. The register's current state may depend
	// on records that aren't written yet.
	head := proto.Clone(s.head).(*wire.ClaimStored)
	head.GetHead().Oldest = oldest
	head.GetHead().Forgot = false
	s.fileStarted = now
	if err := s.log.StartFile(head); err != nil {
		return err
	}
	return s.log.DropBefore(oldest)
}

// close writes the queued records, stops the writing goroutine and closes the folder.
func (s *store) close() {
	s.mu.Lock()
	already := s.stopped
	s.stopped = true
	s.mu.Unlock()
	if already {
		return
	}
	s.signal()
	<-s.done
	s.log.Close()
}
