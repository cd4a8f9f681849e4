package table

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipereach/snipereach/wire"
)

func edit(id string, rows ...*wire.RowEdit) *wire.TableEdit {
	return &wire.TableEdit{EditId: id, By: "asha", Rows: rows}
}

func row(kind, key string, base uint64, cells ...string) *wire.RowEdit {
	r := &wire.RowEdit{Kind: kind, Key: key, BaseVersion: base, Columns: map[string]string{}}
	for _, c := range cells {
		name, value, _ := strings.Cut(c, "=")
		r.Columns[name] = value
	}
	return r
}

func deleteRow(kind, key string, base uint64) *wire.RowEdit {
	return &wire.RowEdit{Kind: kind, Key: key, BaseVersion: base, Delete: true}
}

const accepted = wire.EditStatus_EDIT_STATUS_ACCEPTED

var digest = strings.Repeat("ab", 32)

func newTestMachine(t *testing.T) *Machine {
	t.Helper()
	m := NewMachine()
	r := m.Apply(5, edit("first",
		row(KindPool, "lm", 0),
		row(KindService, "pushpa-lm", 0, "kind=engine", "pool=lm"),
		row(KindTeam, "growers", 0, "key_sha256="+digest),
		row(KindLimit, "growers/pushpa-lm", 0, "requests_per_second=10"),
	))
	assert.Equal(t, r.Status, accepted, r.Detail)
	return m
}

// checkAndApply checks and applies an edit, as it is done for operators.
func checkAndApply(m *Machine, index uint64, e *wire.TableEdit) *wire.EditReply {
	if r := CheckEdit(e); r != nil {
		return r
	}
	return m.Apply(index, e)
}

// A release with stricter column checks must accept the edits in its log that an earlier release has
// accepted.
func TestApplySkipsColumnChecks(t *testing.T) {
	m := newTestMachine(t)
	e := edit("before", row(KindPool, "old", 0, "slots=0", "column_of_old=1"))
	assert.Assert(t, CheckEdit(e) != nil, "this release would refuse it")
	r := m.Apply(9, e)
	assert.Equal(t, r.Status, accepted, r.Detail)
	assert.Equal(t, m.Get(KindPool, "old").Columns["column_of_old"], "1")
}

// An invalid edit is refused with its column and the reason, and changes nothing.
func TestInvalidEditNamesColumn(t *testing.T) {
	for _, c := range []struct {
		name, column, detail string
		edit                 *wire.TableEdit
	}{
		{"range", "slots", "whole number", edit("x", row(KindPool, "p", 0, "slots=0"))},
		{"unknown column", "slotz", "no such column", edit("x", row(KindPool, "p", 0, "slotz=3"))},
		{"word", "idempotent", "yes, no", edit("x", row(KindService, "s", 0, "kind=plain", "pool=lm", "idempotent=perhaps"))},
		{"digest", "key_sha256", "SHA-256", edit("x", row(KindTeam, "t", 0, "key_sha256=abc"))},
		{"reference", "pool", "no pool nowhere", edit("x", row(KindService, "s", 0, "kind=plain", "pool=nowhere"))},
		{"team of a limit", "team", "no team nobody", edit("x", row(KindLimit, "nobody/*", 0))},
		{"still referred to", "", "other rows refer", edit("x", deleteRow(KindPool, "lm", 1))},
		{"same key twice", "", "growers", edit("x", row(KindTeam, "t", 0, "key_sha256="+digest))},
		{"same model twice", "", "pushpa-lm", edit("x", row(KindService, "s", 0, "kind=engine", "pool=lm", "models=a,pushpa-lm"))},
		{"time to live", "claim_ttl_ms", "twice timeout_ms", edit("x", row(KindService, "s", 0, "kind=plain", "pool=lm", "timeout_ms=9000", "claim_ttl_ms=10000"))},
		{"more slots than experts", "spare_slots", "more slots", edit("x", row(KindGroup, "g", 0, "pool=lm", "ranks=4", "experts=8", "layers=1", "spare_slots=7"))},
		{"row twice", "", "twice", edit("x", row(KindPool, "p", 0), row(KindPool, "p", 0))},
		{"kind", "", "unknown row kind", edit("x", row("poll", "p", 0))},
		{"key", "", "TEAM/SERVICE", edit("x", row(KindWeight, "growers", 0))},
		{"no ID", "edit_id", "characters", edit("", row(KindPool, "p", 0))},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newTestMachine(t)
			r := checkAndApply(m, 9, c.edit)
			assert.Equal(t, r.Status, wire.EditStatus_EDIT_STATUS_INVALID)
			assert.Equal(t, r.Column, c.column)
			assert.Assert(t, strings.Contains(r.Detail+r.Row, c.detail), "%s: %s", r.Row, r.Detail)
			assert.Equal(t, m.Revision(), uint64(5))
		})
	}
}

func TestOneEditCanMoveReferences(t *testing.T) {
	m := newTestMachine(t)
	r := m.Apply(6, edit("move",
		row(KindPool, "lm2", 0),
		row(KindService, "pushpa-lm", 1, "kind=engine", "pool=lm2"),
		deleteRow(KindPool, "lm", 1),
	))
	assert.Equal(t, r.Status, accepted, r.Detail)
	r = m.Apply(7, edit("swap",
		row(KindTeam, "growers", 1, "key_sha256="+strings.Repeat("cd", 32)),
		row(KindTeam, "buyers", 0, "key_sha256="+digest),
	))
	assert.Equal(t, r.Status, accepted, r.Detail)
}

func TestHistoryAtRevision(t *testing.T) {
	m := newTestMachine(t)
	m.Apply(8, edit("b", row(KindLimit, "growers/pushpa-lm", 1, "requests_per_second=20")))
	m.Apply(11, edit("c", deleteRow(KindLimit, "growers/pushpa-lm", 2)))
	at := func(rev uint64) *wire.Row { return m.History(KindLimit, "growers/pushpa-lm", rev)[0] }
	assert.Equal(t, at(5).Columns["requests_per_second"], "10")
	assert.Equal(t, at(10).Columns["requests_per_second"], "20")
	assert.Assert(t, at(12).Deleted)
	assert.Equal(t, len(m.History(KindLimit, "growers/pushpa-lm", 0)), 3)
	assert.Equal(t, len(m.History(KindLimit, "growers/pushpa-lm", 4)), 0)
}

// referenceTable has the slots column of each pool, without versions.
type referenceTable map[string]string

// With random edits, resends, conflicts, restarts from snapshots and gaps in the watch, machine and
// follower must have the rows of the reference table.
func TestMachineMatchesReferenceTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, ref, f := NewMachine(), referenceTable{}, NewFollower()
		assert.NilError(t, f.SetFloor("c", 0))
		var sent []*wire.TableEdit
		replies := map[string]*wire.EditReply{}
		for index := uint64(1); index < 60; index++ {
			var e *wire.TableEdit
			if len(sent) > 0 && rapid.IntRange(0, 3).Draw(t, "resend") == 0 {
				e = rapid.SampledFrom(sent).Draw(t, "again")
			} else {
				e = randomEdit(t, m, index)
				sent = append(sent, e)
			}
			reply := m.Apply(index, e)
			checkReply(t, ref, replies, e, reply)
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				m = restoreFromSnapshot(t, m)
			}
			if rapid.Bool().Draw(t, "follow") {
				rows, snapshot := m.Since(f.Revision())
				_, err := f.Apply(now, &wire.TableUpdate{Rows: rows, Snapshot: snapshot, Revision: m.Revision(), Cluster: "c"})
				assert.NilError(t, err)
				assertRows(t, ref, f.rowList())
			}
		}
		assertRows(t, ref, m.Rows(""))
	})
}

func randomEdit(t *rapid.T, m *Machine, index uint64) *wire.TableEdit {
	key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
	base := rapid.Uint64Range(0, 4).Draw(t, "base")
	if r := m.rows[rowID{KindPool, key}]; r != nil && rapid.Bool().Draw(t, "current") {
		base = r.Version
	}
	id := fmt.Sprintf("e%d", index)
	if rapid.IntRange(0, 4).Draw(t, "delete") == 0 {
		return edit(id, deleteRow(KindPool, key, base))
	}
	return edit(id, row(KindPool, key, base, fmt.Sprintf("slots=%d", index)))
}

func checkReply(t *rapid.T, ref referenceTable, replies map[string]*wire.EditReply, e *wire.TableEdit, reply *wire.EditReply) {
	if first := replies[e.EditId]; first != nil {
		if !reply.Replayed || reply.Revision != first.Revision {
			t.Fatalf("edit %s sent again: %v, first %v", e.EditId, reply, first)
		}
		return
	}
	if reply.Status != accepted {
		return
	}
	replies[e.EditId] = reply
	r := e.Rows[0]
	ref[r.Key] = r.Columns["slots"]
	if r.Delete {
		delete(ref, r.Key)
	}
}

func restoreFromSnapshot(t *rapid.T, m *Machine) *Machine {
	data, err := proto.Marshal(m.Snapshot())
	assert.NilError(t, err)
	s := &wire.TableSnapshot{}
	assert.NilError(t, proto.Unmarshal(data, s))
	next := NewMachine()
	next.Restore(s)
	return next
}

func assertRows(t *rapid.T, ref referenceTable, rows []*wire.Row) {
	got := referenceTable{}
	for _, r := range rows {
		got[r.Key] = r.Columns["slots"]
	}
	assert.DeepEqual(t, got, ref)
}

func TestTSVRoundTrip(t *testing.T) {
	m := newTestMachine(t)
	var buf bytes.Buffer
	assert.NilError(t, WriteTSV(&buf, m.Rows("")))
	rows, err := ReadTSV(&buf)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 4)
	_, err = NewView(1, rows)
	assert.NilError(t, err)
	_, err = ReadTSV(strings.NewReader("pool\tlm\tslots\n"))
	assert.ErrorContains(t, err, "line 1")
	_, err = ReadTSV(strings.NewReader("\npool\tlm\n# note\npool\tp\tslots=x\n"))
	assert.ErrorContains(t, err, "line 4")
}
