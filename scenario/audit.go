package scenario

import (
	"fmt"
	"net/http"

	"github.com/rogpeppe/go-internal/testscript"
)

// audit checks the invariants that hold after every script, whichever faults it
// injected: every call has ended; each answer that did not visibly break off is
// complete and belongs to its request; no request to the plain service ran more than
// once; no request reported as not run has run; no accepted row was lost; no step of a
// group used two expert maps; no engine executed an old leader's order after one of
// its successor.
func (w *world) audit(t testscript.T) {
	if w.sys == nil {
		return
	}
	w.restoreAll()
	w.mu.Lock()
	calls := append([]*call(nil), w.callOrder...)
	w.mu.Unlock()
	for _, c := range calls {
		<-c.done
	}
	var faults []string
	for _, c := range calls {
		if fault := w.auditCall(c, calls); fault != "" {
			faults = append(faults, fault)
		}
	}
	faults = append(faults, w.auditRows()...)
	if fault := w.auditGroup(); fault != "" {
		faults = append(faults, fault)
	}
	for _, f := range faults {
		t.Log("audit: " + f)
	}
	if len(faults) > 0 {
		t.FailNow()
	}
}

func (w *world) auditCall(c *call, all []*call) string {
	runs := w.runCount(c.runKey)
	if c.status == http.StatusOK {
		if fault := c.checkAnswer(c.tokens); fault != "" && c.err == nil {
			return "the answer " + fault + ": " + c.String()
		}
		if runs == 0 {
			return "answered but never ran: " + c.String()
		}
	}
	if !c.model && runs > 1 {
		return fmt.Sprintf("ran %d times: %s", runs, c)
	}
	if c.problem.Outcome != "not-run" {
		return ""
	}
	if c.runsBefore > 0 && c.problem.Reason != "bad-request" {
		return "reported as not run although an earlier sending had run: " + c.String()
	}
	for _, other := range all {
		if other.runKey == c.runKey && other.problem.Outcome != "not-run" {
			return ""
		}
	}
	if runs > 0 {
		return fmt.Sprintf("reported as not run but ran %d times: %s", runs, c)
	}
	return ""
}

// auditRows reads every edited row and reports each that can't be read, is older
// than its last accepted version, or differs from it; also versions that were given
// to two different edits.
func (w *world) auditRows() []string {
	type rowKey struct{ kind, key string }
	last := map[rowKey]*edit{}
	var faults []string
	accepted := map[string]string{}
	for _, ed := range w.edits {
		<-ed.done
		if ed.status != http.StatusOK || len(ed.answer.Rows) == 0 {
			continue
		}
		k := rowKey{ed.kind, ed.key}
		at := fmt.Sprintf("%s %s version %d", ed.kind, ed.key, ed.answer.Rows[0].Version)
		columns := fmt.Sprint(ed.answer.Rows[0].Columns)
		if other, ok := accepted[at]; ok && other != columns {
			faults = append(faults, fmt.Sprintf("two edits were accepted as %s: %s and %s", at, columns, other))
		}
		accepted[at] = columns
		if old := last[k]; old == nil || old.answer.Rows[0].Version < ed.answer.Rows[0].Version {
			last[k] = ed
		}
	}
	for k, ed := range last {
		row, err := w.readRow("", k.kind, k.key)
		want := ed.answer.Rows[0]
		switch {
		case err != nil:
			faults = append(faults, fmt.Sprintf("row %s %s can't be read: %v", k.kind, k.key, err))
		case row.Version < want.Version:
			faults = append(faults, fmt.Sprintf("row %s %s went back from %+v to %+v", k.kind, k.key, want, row))
		case row.Version == want.Version && fmt.Sprint(row.Columns) != fmt.Sprint(want.Columns):
			faults = append(faults, fmt.Sprintf("row %s %s changed without an edit from %+v to %+v", k.kind, k.key, want, row))
		}
	}
	return faults
}
