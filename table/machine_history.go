package table

import (
	"github.com/snipereach/snipereach/wire"
)

// trim enforces the limits. It is deterministic, so that all replicas keep the same.
func (m *Machine) trim() {
	for len(m.editOrder) > MaxEdits {
		delete(m.edits, m.editOrder[0])
		m.editOrder = m.editOrder[1:]
	}
	m.trimHistory()
	for len(m.deleted) > MaxTombstones {
		id := m.deleted[0]
		m.deleted = m.deleted[1:]
		if r := m.rows[id]; r != nil && r.Deleted {
			m.floor = max(m.floor, r.Revision)
			delete(m.rows, id)
		}
	}
}

// trimHistory drops versions beyond the limits. It does so only once the history exceeds its limit by
// a tenth, or a row its own twofold, so that the cost is spread over many edits.
func (m *Machine) trimHistory() {
	if len(m.history) < MaxHistory+MaxHistory/10 && !m.exceedsMaxVersions() {
		return
	}
	drop := len(m.history) - MaxHistory
	kept := make([]historyRow, 0, min(len(m.history), MaxHistory+MaxHistory/10))
	for i, r := range m.history {
		if i < drop || m.versions[r.id] > MaxVersions {
			m.versions[r.id]--
			continue
		}
		kept = append(kept, r)
	}
	m.history = kept
}

func (m *Machine) exceedsMaxVersions() bool {
	if len(m.history) == 0 {
		return false
	}
	last := m.history[len(m.history)-1]
	return m.versions[last.id] > 2*MaxVersions
}

// History returns the kept versions of a row, newest first, including the current one. If atRevision
// isn't 0, it returns only the version that was in force at that revision.
func (m *Machine) History(kind, key string, atRevision uint64) []*wire.Row {
	var list []*wire.Row
	if r := m.rows[rowID{kind, key}]; r != nil {
		list = append(list, r)
	}
	for i := len(m.history) - 1; i >= 0; i-- {
		if h := m.history[i]; h.id == (rowID{kind, key}) {
			list = append(list, h.decode())
		}
	}
	if atRevision == 0 {
		return list
	}
	for _, r := range list {
		if r.Revision <= atRevision {
			return []*wire.Row{r}
		}
	}
	return nil
}
