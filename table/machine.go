package table

import (
	"errors"
	"slices"
	"sort"

	"github.com/snipereach/snipereach/wire"
)

// Limits of what the table keeps besides the current rows.
const (
	// MaxEdits is the number of replies kept for edits that are sent again: about two days of edits
	// at 22,000 a day. An edit sent again after that is decided by its base version.
	MaxEdits = 50_000
	// MaxVersions is the number of earlier versions kept of one row.
	MaxVersions = 50
	// MaxHistory is the number of earlier versions kept of all rows: at least four days of edits at
	// 22,000 a day. Together with MaxEdits it limits a replica's memory, its snapshots and its time
	// to start.
	MaxHistory = 100_000
	// MaxTombstones is the number of deleted rows kept for watchers.
	MaxTombstones = 10_000
)

type rowID struct{ kind, key string }

// Machine is the table as a replicated state machine: every replica applies the same edits in the same
// order and gets the same rows. It is not safe for concurrent use.
type Machine struct {
	revision  uint64
	rows      map[rowID]*wire.Row
	history   []historyRow
	edits     map[string]storedEdit
	editOrder []string
	versions  map[rowID]int
	// deleted has the deleted rows that are kept, oldest first; floor is the latest revision of one that
	// was dropped. A watcher at an earlier revision needs a snapshot.
	deleted []rowID
	floor   uint64
	// referenced counts, for each row, the rows that refer to it, without deleted ones.
	referenced map[rowID]int
	// unique maps each value that must be unique to the row that has it.
	unique map[string]rowID
}

// NewMachine returns an empty table.
func NewMachine() *Machine {
	m := &Machine{}
	m.Restore(&wire.TableSnapshot{})
	return m
}

// Revision returns the log index of the latest accepted edit.
func (m *Machine) Revision() uint64 { return m.revision }

// CheckEdit checks the kinds, keys and columns of an edit, without reference to other rows. It returns the
// reply to an invalid edit, or nil. Edits are checked before they are proposed, so that invalid ones
// don't reach the log.
func CheckEdit(e *wire.TableEdit) *wire.EditReply {
	if r := checkShape(e); r != nil {
		return r
	}
	for _, r := range e.Rows {
		if r.Delete {
			continue
		}
		if err := CheckRow(r.Kind, r.Key, r.Columns); err != nil {
			return invalidErr(rowID{r.Kind, r.Key}, err)
		}
	}
	return nil
}

// checkShape checks an edit's ID, and that the edit has rows and none of them twice.
func checkShape(e *wire.TableEdit) *wire.EditReply {
	if e.EditId == "" || len(e.EditId) > 128 {
		return invalid("", "edit_id", "1 to 128 characters are needed")
	}
	if len(e.Rows) == 0 {
		return invalid("", "rows", "an edit needs at least one row")
	}
	seen := map[rowID]bool{}
	for _, r := range e.Rows {
		id := rowID{r.Kind, r.Key}
		if seen[id] {
			return invalid(id.String(), "", "the edit has the row twice")
		}
		seen[id] = true
	}
	return nil
}

func (id rowID) String() string { return id.kind + " " + id.key }

func invalid(row, column, detail string) *wire.EditReply {
	return &wire.EditReply{Status: wire.EditStatus_EDIT_STATUS_INVALID, Row: row, Column: column, Detail: detail}
}

func invalidErr(id rowID, err error) *wire.EditReply {
	var ce *ColumnError
	if errors.As(err, &ce) {
		return invalid(id.String(), ce.Column, ce.Detail)
	}
	return invalid(id.String(), "", err.Error())
}

// StoredReply returns the reply to an edit that was accepted before, marked as replayed, or nil if there is
// none. If the ID was used for another edit, it returns the reply to an invalid edit. Replies to
// conflicts aren't stored, since the rows may have changed meanwhile.
func (m *Machine) StoredReply(e *wire.TableEdit) *wire.EditReply {
	s, ok := m.edits[e.EditId]
	if !ok {
		return nil
	}
	if s.digest != digestOf(e) {
		return invalid("", "edit_id", "the ID was already used for another edit")
	}
	r := s.decode()
	r.Replayed = true
	return r
}

// Apply decides an edit at a log index. It doesn't repeat CheckRow, which differs between releases: a
// replica of another release, or one that replays its log after an upgrade, would refuse an edit that
// was accepted, and its rows would diverge.
func (m *Machine) Apply(index uint64, e *wire.TableEdit) *wire.EditReply {
	if r := m.StoredReply(e); r != nil {
		return r
	}
	if r := checkShape(e); r != nil {
		return r
	}
	if r := m.findConflicts(e); r != nil {
		return r
	}
	next := m.nextRows(index, e)
	if r := m.checkReferences(next); r != nil {
		return r
	}
	for _, row := range next {
		m.put(row)
	}
	m.revision = index
	reply := &wire.EditReply{Status: wire.EditStatus_EDIT_STATUS_ACCEPTED, Rows: next, Revision: index}
	m.storeReply(e, reply)
	m.trim()
	return reply
}

// findConflicts compares the base versions of an edit with the current versions. Of two edits with the
// same base version, the later one in the log is refused.
func (m *Machine) findConflicts(e *wire.TableEdit) *wire.EditReply {
	var current []*wire.Row
	for _, r := range e.Rows {
		old := m.rows[rowID{r.Kind, r.Key}]
		if m.versionOf(old) != r.BaseVersion && !(r.BaseVersion == 0 && old.GetDeleted()) {
			current = append(current, currentOrMissing(old, r))
		}
	}
	if current == nil {
		return nil
	}
	return &wire.EditReply{
		Status: wire.EditStatus_EDIT_STATUS_CONFLICT, Rows: current, Revision: m.revision,
		Row: current[0].Kind + " " + current[0].Key, Detail: "the row has another version",
	}
}

func (m *Machine) versionOf(r *wire.Row) uint64 {
	if r == nil {
		return 0
	}
	return r.Version
}

func currentOrMissing(old *wire.Row, r *wire.RowEdit) *wire.Row {
	if old != nil {
		return old
	}
	return &wire.Row{Kind: r.Kind, Key: r.Key, Deleted: true}
}

func (m *Machine) nextRows(index uint64, e *wire.TableEdit) []*wire.Row {
	var next []*wire.Row
	for _, r := range e.Rows {
		old := m.rows[rowID{r.Kind, r.Key}]
		row := &wire.Row{
			Kind: r.Kind, Key: r.Key, Columns: r.Columns, Version: m.versionOf(old) + 1,
			Revision: index, ChangedBy: e.By, ChangedAtMs: e.AtMs, Deleted: r.Delete,
		}
		if r.Delete {
			row.Columns = old.GetColumns()
		}
		next = append(next, row)
	}
	return next
}

// put replaces a row and adds its former version to the history.
func (m *Machine) put(r *wire.Row) {
	id := rowID{r.Kind, r.Key}
	if old := m.rows[id]; old != nil {
		m.history = append(m.history, newHistoryRow(id, old))
		m.versions[id]++
		m.updateIndexes(old, -1)
		if old.Deleted {
			m.deleted = slices.DeleteFunc(m.deleted, func(d rowID) bool { return d == id })
		}
	}
	m.rows[id] = r
	m.updateIndexes(r, 1)
	if r.Deleted {
		m.deleted = append(m.deleted, id)
	}
}

func (m *Machine) storeReply(e *wire.TableEdit, reply *wire.EditReply) {
	m.edits[e.EditId] = newStoredEdit(e, reply)
	m.editOrder = append(m.editOrder, e.EditId)
}

// Get returns the current row, or nil if there is none.
func (m *Machine) Get(kind, key string) *wire.Row {
	r := m.rows[rowID{kind, key}]
	if r == nil || r.Deleted {
		return nil
	}
	return r
}

// VersionOf returns the version of a row, also if it is deleted; 0 if there never was one.
func (m *Machine) VersionOf(kind, key string) uint64 { return m.versionOf(m.rows[rowID{kind, key}]) }

// LatestRevision returns the latest revision at which a row of a kind was changed or deleted; 0 if none was.
func (m *Machine) LatestRevision(kind string) (latest uint64) {
	for id, r := range m.rows {
		if id.kind == kind {
			latest = max(latest, r.Revision)
		}
	}
	return latest
}

// Rows returns the current rows of a kind, or of all kinds if kind is empty, sorted by kind and key.
func (m *Machine) Rows(kind string) []*wire.Row {
	var list []*wire.Row
	for _, r := range m.rows {
		if !r.Deleted && (kind == "" || r.Kind == kind) {
			list = append(list, r)
		}
	}
	sortRows(list)
	return list
}

func sortRows(list []*wire.Row) {
	sort.Slice(list, func(i, j int) bool {
		if list[i].Kind != list[j].Kind {
			return list[i].Kind < list[j].Kind
		}
		return list[i].Key < list[j].Key
	})
}

// Since returns the rows changed after a revision, including deleted ones. If revision is 0, above the
// table's, or so old that deletions after it are no longer known, it returns all current rows and sets
// snapshot.
func (m *Machine) Since(revision uint64) (rows []*wire.Row, snapshot bool) {
	if revision == 0 || revision < m.floor || revision > m.revision {
		return m.Rows(""), true
	}
	for _, r := range m.rows {
		if r.Revision > revision {
			rows = append(rows, r)
		}
	}
	sortRows(rows)
	return rows, false
}
