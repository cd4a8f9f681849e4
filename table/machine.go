package table

import (
	"errors"
	"slices"
	"sort"

	"github.com/snipereach/snipereach/wire"
)

// Bounds of what the table remembers besides the rows in force.
const (
	// MaxEdits is how many answers are kept for resent edits: about two days at
	// 22,000 edits a day. A resend that comes later is judged by its version.
	MaxEdits = 50_000
	// MaxVersions is how many earlier versions of one row are kept.
	MaxVersions = 50
	// MaxHistory is how many earlier versions are kept in all: at least four days
	// at 22,000 edits a day. With MaxEdits it bounds a replica's memory, its
	// snapshots and the time of its start, however many edits there were.
	MaxHistory = 100_000
	// MaxTombstones is how many deleted rows are kept for watchers.
	MaxTombstones = 10_000
)

type rowID struct{ kind, key string }

// Machine is the table as a state machine on the replicated log: every replica
// applies the same edits in the same order and comes to the same rows. It is
// not safe for use by several goroutines.
type Machine struct {
	revision  uint64
	rows      map[rowID]*wire.Row
	history   []pastRow
	edits     map[string]storedEdit
	editOrder []string
	versions  map[rowID]int
	deleted   []rowID
	floor     uint64
	// referenced counts the live rows that refer to a row.
	referenced map[rowID]int
	// unique maps a value that may stand in one row only to that row.
	unique map[string]rowID
}

// NewMachine makes an empty table.
func NewMachine() *Machine {
	m := &Machine{}
	m.Restore(&wire.TableSnapshot{})
	return m
}

// Revision is the log index of the latest accepted edit.
func (m *Machine) Revision() uint64 { return m.revision }

// Check says what is wrong with an edit on its own: kinds, keys and columns. It
// is made before an edit is proposed, so that a bad one never reaches the log.
func Check(e *wire.TableEdit) *wire.EditReply {
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

// checkShape says what is wrong with an edit whatever the columns are.
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
			return invalid(id.String(), "", "the row stands twice in the edit")
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

// Stored returns the answer to an edit that was decided before, or nil. Only
// accepted edits are stored: a conflict decided nothing, and the row in force
// may have moved on.
func (m *Machine) Stored(e *wire.TableEdit) *wire.EditReply {
	s, ok := m.edits[e.EditId]
	if !ok {
		return nil
	}
	if s.digest != digestOf(e) {
		return invalid("", "edit_id", "the ID was used for another edit")
	}
	r := s.decode()
	r.Replayed = true
	return r
}

// Apply decides an edit at a log index. Columns are not checked again: they passed
// Check before the edit was proposed. Releases differ in what they check, and a replica
// that judged anew would refuse what another one accepted, or, reading its own log
// after an upgrade, what it had accepted itself: an accepted row would revert.
func (m *Machine) Apply(index uint64, e *wire.TableEdit) *wire.EditReply {
	if r := m.Stored(e); r != nil {
		return r
	}
	if r := checkShape(e); r != nil {
		return r
	}
	if r := m.conflicts(e); r != nil {
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
	m.store(e, reply)
	m.trim()
	return reply
}

// conflicts compares versions. Of two edits based on the same version the log
// orders one first; the other finds a version that has moved on.
func (m *Machine) conflicts(e *wire.TableEdit) *wire.EditReply {
	var inForce []*wire.Row
	for _, r := range e.Rows {
		old := m.rows[rowID{r.Kind, r.Key}]
		if m.versionOf(old) != r.BaseVersion && !(r.BaseVersion == 0 && old.GetDeleted()) {
			inForce = append(inForce, currentOrMissing(old, r))
		}
	}
	if inForce == nil {
		return nil
	}
	return &wire.EditReply{
		Status: wire.EditStatus_EDIT_STATUS_CONFLICT, Rows: inForce, Revision: m.revision,
		Row: inForce[0].Kind + " " + inForce[0].Key, Detail: "the row has another version",
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

// put replaces a row and keeps the old version as history.
func (m *Machine) put(r *wire.Row) {
	id := rowID{r.Kind, r.Key}
	if old := m.rows[id]; old != nil {
		m.history = append(m.history, newPastRow(id, old))
		m.versions[id]++
		m.index(old, -1)
		if old.Deleted {
			m.deleted = slices.DeleteFunc(m.deleted, func(d rowID) bool { return d == id })
		}
	}
	m.rows[id] = r
	m.index(r, 1)
	if r.Deleted {
		m.deleted = append(m.deleted, id)
	}
}

func (m *Machine) store(e *wire.TableEdit, reply *wire.EditReply) {
	m.edits[e.EditId] = newStoredEdit(e, reply)
	m.editOrder = append(m.editOrder, e.EditId)
}

// Get returns the row in force, or nil.
func (m *Machine) Get(kind, key string) *wire.Row {
	r := m.rows[rowID{kind, key}]
	if r == nil || r.Deleted {
		return nil
	}
	return r
}

// Rows returns the rows in force of a kind, or of all kinds if it is empty,
// sorted by kind and key.
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

// Since returns what changed after a revision, deleted rows included, or the
// whole table when that is no longer known.
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
