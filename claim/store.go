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

// ErrStore is returned when a register's data folder can't be used.
var ErrStore = merry.Sentinel("data folder of claims can't be used")

const (
	// filesPerTTL is how many files the records of one time to live go to. A file
	// is dropped when a time to live has passed since its last record.
	filesPerTTL = 4
	// maxSyncDelay is how long a settlement may wait for a grant to share its sync.
	maxSyncDelay = 5 * time.Millisecond
	// MaxFolderBytes bounds a register's folder: beyond it, it grants nothing.
	MaxFolderBytes = 512 << 20
)

// batch is a set of records that one sync makes durable.
type batch struct {
	recs []proto.Message
	done chan struct{}
	err  error
}

// wait returns once the records are durable, or can't be.
func (b *batch) wait() error {
	if b == nil {
		return nil
	}
	<-b.done
	return b.err
}

// store writes a register's records to its folder: all that come while one sync
// runs share the next one.
type store struct {
	log *wal.Log
	now func() time.Time
	ttl time.Duration
	// synced is told after each batch, with the size of the folder.
	synced func(err error, bytes int64)

	// head is the last one written. Only the writing goroutine uses it, the files'
	// times and the log.
	head    *wire.ClaimStored
	started time.Time
	// closed holds when each file but the last had its last record.
	closed map[uint64]time.Time

	mu      sync.Mutex
	next    *batch
	syncing *batch
	stopped bool
	wake    chan struct{}
	ended   chan struct{}
}

// openStore reads a folder. damaged is what was wrong with it, or nil; the
// records can't be trusted then, and st is nil as for an empty folder.
func openStore(fs wal.FS) (l *wal.Log, st *Stored, damaged error, err error) {
	st = &Stored{}
	l, err = wal.OpenLog(fs, func(payload []byte) error {
		rec := &wire.ClaimStored{}
		if err := proto.Unmarshal(payload, rec); err != nil {
			return merry.Prepend(wal.ErrCorrupt, err.Error())
		}
		st.Add(rec)
		return nil
	})
	switch {
	case errors.Is(err, wal.ErrCorrupt):
		return l, nil, err, nil
	case err != nil:
		return nil, nil, nil, merry.Prepend(ErrStore, err.Error())
	case l.LastFile() == 0:
		return l, nil, nil, nil
	case st.head == nil || l.FirstFile() > st.oldest:
		return l, nil, merry.Prepend(wal.ErrCorrupt, "the first file is missing"), nil
	}
	return l, st, nil, nil
}

// newStore begins a new file with all that a register holds, in place of the
// folder's earlier ones.
func newStore(l *wal.Log, recs []*wire.ClaimStored, ttl time.Duration, now func() time.Time) (*store, error) {
	s := &store{
		log: l, now: now, ttl: ttl, started: now(), closed: map[uint64]time.Time{},
		wake: make(chan struct{}, 1), ended: make(chan struct{}),
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

// stoppedBatch is what a call gets that came while the process stopped.
func stoppedBatch() *batch {
	b := &batch{done: make(chan struct{}), err: merry.Prepend(ErrStore, "the process stops")}
	close(b.done)
	return b
}

// add takes records for the next sync. It returns the batch after which all
// records so far are durable; nil if they are. Records that nobody waits for are
// not urgent: they are left for the next grant's sync, for a short while.
func (s *store) add(recs []*wire.ClaimStored, urgent bool) *batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return stoppedBatch()
	}
	if len(recs) > 0 && s.next == nil {
		s.next = &batch{done: make(chan struct{})}
		if !urgent {
			time.AfterFunc(maxSyncDelay, s.rouse)
		}
	}
	for _, rec := range recs {
		s.next.recs = append(s.next.recs, rec)
	}
	if s.next == nil {
		return s.syncing
	}
	if urgent {
		s.rouse()
	}
	return s.next
}

// rouse lets the store write what it has.
func (s *store) rouse() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run writes batches until the store is closed. The ticks drop old files where
// no records come: a folder at its bound would otherwise stay there.
func (s *store) run() {
	defer close(s.ended)
	tick := time.NewTicker(s.ttl / filesPerTTL)
	defer tick.Stop()
	for {
		select {
		case <-s.wake:
		case <-tick.C:
			s.synced(s.rotateIfDue(), s.log.Bytes())
		}
		// Looked at before the last batch is taken: what was added before the stop
		// is still written, and nothing is added after it.
		s.mu.Lock()
		stopped := s.stopped
		s.mu.Unlock()
		for b := s.begin(); b != nil; b = s.begin() {
			b.err = s.write(b.recs)
			s.synced(b.err, s.log.Bytes())
			close(b.done)
		}
		if stopped {
			return
		}
	}
}

func (s *store) begin() *batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.syncing, s.next = s.next, nil
	return s.syncing
}

func (s *store) write(recs []proto.Message) error {
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
	if s.now().Sub(s.started) < s.ttl/filesPerTTL {
		return nil
	}
	return s.rotate()
}

// rotate begins a file and drops those whose records have all expired. A record
// lives for at most a time to live after it was written.
func (s *store) rotate() error {
	now := s.now()
	s.closed[s.log.LastFile()] = now
	oldest := s.log.LastFile() + 1
	for n, at := range s.closed {
		if now.Sub(at) < s.ttl {
			oldest = min(oldest, n)
			continue
		}
		delete(s.closed, n)
	}
	// The head is that of the records written so far: one made now might speak of
	// records that are still to be written.
	head := proto.Clone(s.head).(*wire.ClaimStored)
	head.GetHead().Oldest = oldest
	head.GetHead().Forgot = false
	s.started = now
	if err := s.log.StartFile(head); err != nil {
		return err
	}
	return s.log.DropBefore(oldest)
}

// close ends the writing after what has been taken, and releases the folder.
func (s *store) close() {
	s.mu.Lock()
	already := s.stopped
	s.stopped = true
	s.mu.Unlock()
	if already {
		return
	}
	s.rouse()
	<-s.ended
	s.log.Close()
}
