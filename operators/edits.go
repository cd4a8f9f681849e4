package operators

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

// Propagation says which entries have applied a revision of the table. Lagging holds
// the IDs of those that haven't.
type Propagation struct {
	Revision uint64   `json:"revision"`
	InForce  int      `json:"in_force"`
	Entries  int      `json:"entries"`
	Lagging  []string `json:"lagging,omitempty"`
	// silentLagging counts the lagging entries whose lease ran out.
	silentLagging int
}

// EditResult is the response to an accepted edit. Replayed says that the edit had
// already been made by an earlier request with the same idempotency key.
type EditResult struct {
	Rows        []Row       `json:"rows"`
	Replayed    bool        `json:"replayed,omitempty"`
	Propagation Propagation `json:"force"`
}

// baseVersion reads the row version that an edit is based on from the headers
// If-Match and If-None-Match; 0 is a new row.
func baseVersion(r *http.Request) (uint64, error) {
	match, none := r.Header.Get("If-Match"), r.Header.Get("If-None-Match")
	if match != "" && none != "" {
		return 0, errors.New("headers If-Match and If-None-Match contradict each other")
	}
	if none == "*" {
		return 0, nil
	}
	if match == "" {
		return 0, errNoPrecondition
	}
	n, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
	if err != nil {
		return 0, errors.New("header If-Match: not an ETag of this table")
	}
	return n, nil
}

func (h *Handler) editRow(c *call) {
	v := mux.Vars(c.r)
	version, err := baseVersion(c.r)
	if errors.Is(err, errNoPrecondition) {
		c.writeError(http.StatusPreconditionRequired, "An edit needs a precondition.", err.Error())
		return
	}
	if err != nil {
		c.writeError(http.StatusBadRequest, "The precondition is malformed.", err.Error())
		return
	}
	row := &wire.RowEdit{Kind: v["kind"], Key: v["key"], BaseVersion: version, Delete: c.r.Method == http.MethodDelete}
	if !row.Delete {
		var body struct {
			Columns map[string]string `json:"columns"`
		}
		if !c.decodeBody(&body) {
			return
		}
		row.Columns = body.Columns
	}
	h.submitEdit(c, []*wire.RowEdit{row})
}

// RowEdit is one row of an edit of several rows. BaseVersion is the version that
// the edit is based on, 0 for a new row.
type RowEdit struct {
	Kind        string            `json:"kind"`
	Key         string            `json:"key"`
	Columns     map[string]string `json:"columns,omitempty"`
	BaseVersion uint64            `json:"base_version"`
	Delete      bool              `json:"delete,omitempty"`
}

func (h *Handler) applyRows(c *call) {
	var body struct {
		Rows []RowEdit `json:"rows"`
	}
	if !c.decodeBody(&body) {
		return
	}
	if len(body.Rows) == 0 || len(body.Rows) > maxEditRows {
		c.writeError(http.StatusBadRequest, "The edit has no rows or too many rows.", "1 to "+strconv.Itoa(maxEditRows)+" rows")
		return
	}
	rows := make([]*wire.RowEdit, 0, len(body.Rows))
	for _, r := range body.Rows {
		rows = append(rows, &wire.RowEdit{Kind: r.Kind, Key: r.Key, Columns: r.Columns, BaseVersion: r.BaseVersion, Delete: r.Delete})
	}
	h.submitEdit(c, rows)
}

func (h *Handler) submitEdit(c *call, rows []*wire.RowEdit) {
	id := c.r.Header.Get("Idempotency-Key")
	if id == "" {
		id = rand.Text()
	}
	reply, err := h.client.Edit(c.r.Context(), &wire.TableEdit{EditId: id, By: c.operator, Rows: rows})
	if err != nil {
		h.counters.undecided.Inc(1)
		kernel.Warn(h.log, "Edit has no known outcome.", "by", c.operator, "edit", id, "err", err)
		c.w.Header().Set("Retry-After", "1")
		c.writeError(http.StatusServiceUnavailable, "The outcome of the edit is unknown. Send it again with the same Idempotency-Key.", err.Error())
		return
	}
	h.writeEditReply(c, id, reply)
}

func (h *Handler) writeEditReply(c *call, id string, reply *wire.EditReply) {
	switch reply.Status {
	case wire.EditStatus_EDIT_STATUS_ACCEPTED:
		if !reply.Replayed {
			h.counters.accepted.Inc(1)
			h.logEdit(c.operator, id, reply)
		}
		if len(reply.Rows) == 1 {
			c.w.Header().Set("ETag", etag(reply.Rows[0].Version))
		}
		kernel.WriteJSON(c.w, http.StatusOK, EditResult{
			Rows: rowsOf(reply.Rows), Replayed: reply.Replayed, Propagation: h.waitPropagation(c.r.Context(), reply.Revision),
		})
	case wire.EditStatus_EDIT_STATUS_CONFLICT:
		h.counters.conflicts.Inc(1)
		c.writeProblem(&problem{
			Type: "urn:snipereach:edit:conflict", Title: "The row was changed by another edit.",
			Status: http.StatusPreconditionFailed, Detail: reply.Detail, Row: reply.Row, InForce: rowsOf(reply.Rows),
		})
	default:
		h.counters.invalid.Inc(1)
		c.writeProblem(&problem{
			Type: "urn:snipereach:edit:invalid", Title: "The edit is not valid.",
			Status: http.StatusUnprocessableEntity, Detail: reply.Detail, Row: reply.Row, Column: reply.Column,
		})
	}
}

// logEdit logs the author and the new version of each changed row. Column values
// are not logged: they may hold digests of keys.
func (h *Handler) logEdit(by, id string, reply *wire.EditReply) {
	for _, r := range reply.Rows {
		msg := "Changed a row."
		if r.Deleted {
			msg = "Deleted a row."
		}
		kernel.Info(h.log, msg, "by", by, "row", r.Kind+" "+r.Key, "version", r.Version, "revision", reply.Revision, "edit", id)
	}
}

// waitPropagation waits until every entry with a valid lease has applied a
// revision, at most propagationWait. A silent entry is not waited for but listed as
// lagging: behind a network partition it may still serve callers with old rows.
func (h *Handler) waitPropagation(ctx context.Context, revision uint64) Propagation {
	deadline := time.Now().Add(propagationWait)
	for {
		f := h.propagation(revision)
		if len(f.Lagging) == f.silentLagging || time.Now().After(deadline) {
			return f
		}
		select {
		case <-ctx.Done():
			return f
		case <-time.After(propagationPollInterval):
		}
	}
}

func (h *Handler) propagation(revision uint64) Propagation {
	f := Propagation{Revision: revision}
	for _, e := range h.system.Entries() {
		f.Entries++
		if e.Revision >= revision {
			f.InForce++
			continue
		}
		f.Lagging = append(f.Lagging, e.ID)
		if e.Phase == PhaseSilent {
			f.silentLagging++
		}
	}
	return f
}

func (h *Handler) getPropagation(c *call) {
	revision, err := strconv.ParseUint(mux.Vars(c.r)["revision"], 10, 64)
	if err != nil {
		c.writeError(http.StatusBadRequest, "The revision is malformed.", err.Error())
		return
	}
	kernel.WriteJSON(c.w, http.StatusOK, h.propagation(revision))
}
