package table

import (
	"sort"

	"github.com/snipereach/snipereach/wire"
)

// Snapshot returns the whole state.
func (m *Machine) Snapshot() *wire.TableSnapshot {
	s := &wire.TableSnapshot{Revision: m.revision, Floor: m.floor}
	for _, r := range m.history {
		s.History = append(s.History, r.encoded)
	}
	for _, r := range m.rows {
		s.Rows = append(s.Rows, r)
	}
	sortRows(s.Rows)
	for _, id := range m.editOrder {
		e := m.edits[id]
		s.Edits = append(s.Edits, &wire.StoredEdit{EditId: id, Digest: e.digest[:], Reply: e.reply})
	}
	return s
}

// Restore replaces the whole state with that of a snapshot.
func (m *Machine) Restore(s *wire.TableSnapshot) {
	*m = Machine{
		revision: s.GetRevision(), floor: s.GetFloor(),
		rows: map[rowID]*wire.Row{}, edits: make(map[string]storedEdit, len(s.GetEdits())), versions: map[rowID]int{},
		referenced: map[rowID]int{}, unique: map[string]rowID{},
	}
	for _, r := range s.GetRows() {
		id := rowID{r.Kind, r.Key}
		m.rows[id] = r
		m.updateIndexes(r, 1)
		if r.Deleted {
			m.deleted = append(m.deleted, id)
		}
	}
	sort.Slice(m.deleted, func(i, j int) bool { return m.rows[m.deleted[i]].Revision < m.rows[m.deleted[j]].Revision })
	known := map[rowID]rowID{}
	for _, b := range s.GetHistory() {
		r := historyRow{decodeRowID(b, known), b}
		m.history = append(m.history, r)
		m.versions[r.id]++
	}
	for _, e := range s.GetEdits() {
		kept := storedEdit{reply: e.Reply}
		copy(kept.digest[:], e.Digest)
		m.edits[e.EditId] = kept
		m.editOrder = append(m.editOrder, e.EditId)
	}
}
