package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/operators"
	"github.com/snipereach/snipereach/quickstart"
)

// edit is an operator's edit of a row and its result; the result is valid once done
// is closed.
type edit struct {
	id, kind, key string
	columns       map[string]string
	done          chan struct{}

	err    error
	status int
	answer operators.EditResult
	body   string
}

// operatorCall sends one request to an entry's operator interface and returns the
// status and body of the answer.
func (w *world) operatorCall(via, method, path string, header map[string]string, body any) (int, []byte, error) {
	e := w.sys.Entry(via)
	if e == nil {
		return 0, nil, merry.Prependf(ErrScript, "%s is not running", via)
	}
	text, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.OperatorAddress()+path, bytes.NewReader(text))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+quickstart.OperatorKey)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

// readRow returns the current row, or a zero Row if there is none. It retries while
// the table can't be read.
func (w *world) readRow(via, kind, key string) (operators.Row, error) {
	var row operators.Row
	err := eventually(func() string {
		o := options{values: map[string]string{}}
		if via != "" {
			o.values["via"] = via
		}
		name, err := w.pickEntry(o)
		if err != nil {
			return err.Error()
		}
		status, body, err := w.operatorCall(name, http.MethodGet, "/v1/table/"+kind+"/"+key, nil, nil)
		switch {
		case err != nil:
			return err.Error()
		case status == http.StatusNotFound:
			row = operators.Row{}
			return ""
		case status != http.StatusOK:
			return string(body)
		}
		row = operators.Row{}
		if err := json.Unmarshal(body, &row); err != nil {
			return err.Error()
		}
		return ""
	})
	return row, err
}

// startEdit sends an edit without waiting for its answer. With resend=yes it is sent
// again with the same edit ID, through any entry, until it is accepted or rejected.
func (w *world) startEdit(id string, o options) error {
	if len(o.positional) != 2 || w.edits[id] != nil {
		return merry.Prepend(ErrScript, "edit ID KIND KEY [base=N] [via=ENTRY] [resend=yes] [column=value ...], with a new ID")
	}
	ed := &edit{id: id, kind: o.positional[0], key: o.positional[1], columns: map[string]string{}, done: make(chan struct{})}
	resend := o.values["resend"] == "yes"
	editID := id
	if o.values["edit-id"] != "" {
		editID = o.values["edit-id"]
	}
	for name, value := range o.values {
		if name != "base" && name != "via" && name != "resend" && name != "edit-id" {
			ed.columns[name] = value
		}
	}
	base := o.values["base"]
	if base == "" {
		row, err := w.readRow(o.values["via"], ed.kind, ed.key)
		if err != nil {
			return err
		}
		base = strconv.FormatUint(row.Version, 10)
	}
	via, err := w.pickEntry(o)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.edits[id] = ed
	w.mu.Unlock()
	go w.sendEdit(ed, editID, base, via, resend)
	return nil
}

func (w *world) sendEdit(ed *edit, editID, base, via string, resend bool) {
	defer close(ed.done)
	header := map[string]string{"If-Match": `"` + base + `"`, "Idempotency-Key": editID}
	if base == "0" {
		header = map[string]string{"If-None-Match": "*", "Idempotency-Key": editID}
	}
	end := time.Now().Add(waitTimeout)
	for {
		status, body, err := w.operatorCall(via, http.MethodPut, "/v1/table/"+ed.kind+"/"+ed.key, header, map[string]any{"columns": ed.columns})
		ed.status, ed.body, ed.err = status, string(body), err
		undecided := err != nil || status == http.StatusServiceUnavailable
		if !undecided || !resend || time.Now().After(end) {
			break
		}
		time.Sleep(pollInterval)
		via, _ = w.pickEntry(options{})
	}
	if ed.status == http.StatusOK {
		ed.err = json.Unmarshal([]byte(ed.body), &ed.answer)
	}
}

func (w *world) waitEdit(id string) (*edit, error) {
	w.mu.Lock()
	ed := w.edits[id]
	w.mu.Unlock()
	if ed == nil {
		return nil, merry.Prependf(ErrScript, "no edit %q", id)
	}
	<-ed.done
	return ed, nil
}

// expectEdit compares an edit's answer with the expected values.
func (w *world) expectEdit(id string, o options) error {
	ed, err := w.waitEdit(id)
	if err != nil {
		return err
	}
	for name, want := range o.values {
		got := ""
		switch name {
		case "status":
			got = strconv.Itoa(ed.status)
		case "replayed":
			got = map[bool]string{true: "yes", false: "no"}[ed.answer.Replayed]
		}
		ok := false
		for _, alternative := range strings.Split(want, "|") {
			ok = ok || got == alternative
		}
		if !ok {
			return merry.Prependf(errMismatch, "edit %s: %s is %q, not %q: %v %s", id, name, got, want, ed.err, ed.body)
		}
	}
	return nil
}

// waitInForce waits until every running entry has an edit's revision or a later one.
func (w *world) waitInForce(id string) error {
	ed, err := w.waitEdit(id)
	if err != nil {
		return err
	}
	if ed.status != http.StatusOK {
		return merry.Prependf(errMismatch, "edit %s was not accepted: %d %s", id, ed.status, ed.body)
	}
	return eventually(func() string {
		for _, name := range w.runningEntries() {
			if e := w.sys.Entry(name); e != nil && e.Revision() < ed.answer.Propagation.Revision {
				return fmt.Sprintf("%s has revision %d, not %d", name, e.Revision(), ed.answer.Propagation.Revision)
			}
		}
		return ""
	})
}

// members returns the members of the replicated log and its health.
func (w *world) members(via string) (*operators.Members, error) {
	if via == "" {
		var err error
		if via, err = w.pickEntry(options{}); err != nil {
			return nil, err
		}
	}
	status, body, err := w.operatorCall(via, http.MethodGet, "/v1/members", nil, nil)
	if err != nil || status != http.StatusOK {
		return nil, merry.Prependf(errNotMet, "members can't be read: %d %s %v", status, body, err)
	}
	m := &operators.Members{}
	return m, json.Unmarshal(body, m)
}

// findLeader waits until the replicated log has a leader and returns its part.
func (w *world) findLeader() (string, error) {
	found := ""
	err := eventually(func() string {
		m, err := w.members("")
		if err != nil {
			return err.Error()
		}
		for _, member := range m.Members {
			if member.Role == "leader" {
				found, _, _ = strings.Cut(member.ID, "/")
				return ""
			}
		}
		return "no leader is known"
	})
	return found, err
}
