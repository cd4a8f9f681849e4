package consensus

import (
	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/wire"
)

// raftLog is the in-memory log: a snapshot and the entries that follow it.
type raftLog struct {
	snapshot *wire.LogSnapshot
	entries  []*wire.LogEntry

	committed uint64
	applied   uint64
	// handedToDriver is the last index handed to the driver to make durable, and stable
	// the last one that is durable.
	handedToDriver uint64
	stable         uint64
	// configs holds the memberships with the indexes of their entries, oldest first.
	configs []indexedConfig
}

type indexedConfig struct {
	index  uint64
	config *wire.Configuration
}

func newLog(s *wire.LogSnapshot, entries []*wire.LogEntry) raftLog {
	if s == nil {
		s = &wire.LogSnapshot{Config: &wire.Configuration{}}
	}
	l := raftLog{
		snapshot: s, entries: entries,
		committed: s.Index, applied: s.Index,
		configs: []indexedConfig{{s.Index, s.Config}},
	}
	l.handedToDriver = l.lastIndex()
	l.stable = l.handedToDriver
	for _, e := range entries {
		l.recordConfig(e)
	}
	return l
}

func (l *raftLog) recordConfig(e *wire.LogEntry) {
	if e.Type != wire.EntryType_ENTRY_TYPE_CONFIG {
		return
	}
	c := &wire.Configuration{}
	if err := proto.Unmarshal(e.Data, c); err == nil {
		l.configs = append(l.configs, indexedConfig{e.Index, c})
	}
}

// config returns the membership in force. A membership takes effect as soon as its
// entry is in the log, committed or not (Ongaro's thesis, 4.1).
func (l *raftLog) config() *wire.Configuration { return l.configs[len(l.configs)-1].config }

func (l *raftLog) configIndex() uint64 { return l.configs[len(l.configs)-1].index }

func (l *raftLog) firstIndex() uint64 { return l.snapshot.Index + 1 }

func (l *raftLog) lastIndex() uint64 {
	return l.snapshot.Index + uint64(len(l.entries))
}

func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of the entry at an index, or false if the entry is compacted or
// beyond the end of the log.
func (l *raftLog) term(index uint64) (uint64, bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index < l.snapshot.Index || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.firstIndex()].Term, true
}

// slice returns the entries from an index on, limited to maxEntries and maxBytes, but
// at least one if there is any.
func (l *raftLog) slice(from uint64, maxEntries, maxBytes int) []*wire.LogEntry {
	if from > l.lastIndex() {
		return nil
	}
	all := l.entries[from-l.firstIndex():]
	bytes := 0
	for i, e := range all {
		bytes += len(e.Data)
		if i > 0 && (i >= maxEntries || bytes > maxBytes) {
			return all[:i:i]
		}
	}
	return all[:len(all):len(all)]
}

func (l *raftLog) append(e *wire.LogEntry) {
	l.entries = append(l.entries, e)
	l.recordConfig(e)
}

// truncate drops the entries from an index on. It panics if one of them is committed:
// dropping it would lose an accepted entry, so the process must stop.
func (l *raftLog) truncate(from uint64) {
	if from <= l.committed {
		panic("consensus: attempt to truncate a committed entry")
	}
	l.entries = l.entries[: from-l.firstIndex() : from-l.firstIndex()]
	for len(l.configs) > 1 && l.configs[len(l.configs)-1].index >= from {
		l.configs = l.configs[:len(l.configs)-1]
	}
	l.handedToDriver = min(l.handedToDriver, from-1)
	l.stable = min(l.stable, from-1)
}

func (l *raftLog) commitTo(index uint64) {
	l.committed = max(l.committed, min(index, l.lastIndex()))
}

// takeUnstable returns the entries that the driver must make durable. They replace all
// entries from their first index on that were made durable before.
func (l *raftLog) takeUnstable() []*wire.LogEntry {
	if l.handedToDriver >= l.lastIndex() {
		return nil
	}
	unstable := l.slice(l.handedToDriver+1, len(l.entries), int(^uint(0)>>1))
	l.handedToDriver = l.lastIndex()
	return unstable
}

func (l *raftLog) takeCommitted() []*wire.LogEntry {
	if l.applied >= l.committed {
		return nil
	}
	from := l.applied + 1 - l.firstIndex()
	to := l.committed + 1 - l.firstIndex()
	l.applied = l.committed
	return l.entries[from:to:to]
}

func (l *raftLog) compact(index uint64, data []byte) *wire.LogSnapshot {
	if index <= l.snapshot.Index || index > l.applied {
		return nil
	}
	term, _ := l.term(index)
	s := &wire.LogSnapshot{Index: index, Term: term, Config: l.configAt(index), Data: data}
	l.entries = append([]*wire.LogEntry(nil), l.entries[index+1-l.firstIndex():]...)
	l.snapshot = s
	l.compactConfigs()
	return s
}

func (l *raftLog) configAt(index uint64) *wire.Configuration {
	c := l.configs[0].config
	for _, ic := range l.configs {
		if ic.index <= index {
			c = ic.config
		}
	}
	return c
}

func (l *raftLog) compactConfigs() {
	kept := []indexedConfig{{l.snapshot.Index, l.snapshot.Config}}
	for _, ic := range l.configs {
		if ic.index > l.snapshot.Index {
			kept = append(kept, ic)
		}
	}
	l.configs = kept
}

// restore replaces the whole log with a snapshot.
func (l *raftLog) restore(s *wire.LogSnapshot) {
	*l = newLog(s, nil)
}
