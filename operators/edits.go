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

// Force says on how many entries a revision is in force, and which lag.
type Force struct {
	Revision uint64   `json:"revision"`
	InForce  int      `json:"in_force"`
	Entries  int      `json:"entries"`
	Lagging  []string `json:"lagging,omitempty"`
	// silent is how many of those that lag can't be waited for.
	silent int
}

// Edited is the answer to an accepted edit.
type Edited struct {
	Rows     []Row `json:"rows"`
	Replayed bool  `json:"replayed,omitempty"`
	Force    Force `json:"force"`
}

// base reads the version that an edit is based on.
func base(r *http.Request) (uint64, error) {
	match, none := r.Header.Get("If-Match"), r.Header.Get("If-None-Match")
	if match != "" && none != "" {
		return 0, errors.New("headers If-Match and If-None-Match contradict each other")
	}
	if none == "*" {
		return 0, nil
	}
	if match == "" {
		return 0, errNoBase
	}
	n, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
	if err != nil {
		return 0, errors.New("header If-Match: not an ETag of this table")
	}
	return n, nil
}

func (h *Handler) put(c *call) {
	v := mux.Vars(c.r)
	version, err := base(c.r)
	if errors.Is(err, errNoBase) {
		c.problem(http.StatusPreconditionRequired, "An edit says what it is based on.", err.Error())
		return
	}
	if err != nil {
		c.problem(http.StatusBadRequest, "The precondition is malformed.", err.Error())
		return
	}
	row := &wire.RowEdit{Kind: v["kind"], Key: v["key"], BaseVersion: version, Delete: c.r.Method == http.MethodDelete}
	if !row.Delete {
		var body struct {
			Columns map[string]string `json:"columns"`
		}
		if !c.decode(&body) {
			return
		}
		row.Columns = body.Columns
	}
	h.edit(c, []*wire.RowEdit{row})
}

// RowEdit is one row of an edit of several rows.
type RowEdit struct {
	Kind        string            `json:"kind"`
	Key         string            `json:"key"`
	Columns     map[string]string `json:"columns,omitempty"`
	BaseVersion uint64            `json:"base_version"`
	Delete      bool              `json:"delete,omitempty"`
}

func (h *Handler) apply(c *call) {
	var body struct {
		Rows []RowEdit `json:"rows"`
	}
	if !c.decode(&body) {
		return
	}
	if len(body.Rows) == 0 || len(body.Rows) > maxApply {
		c.problem(http.StatusBadRequest, "The edit has no rows, or too many.", "1 to "+strconv.Itoa(maxApply)+" rows")
		return
	}
	rows := make([]*wire.RowEdit, 0, len(body.Rows))
	for _, r := range body.Rows {
		rows = append(rows, &wire.RowEdit{Kind: r.Kind, Key: r.Key, Columns: r.Columns, BaseVersion: r.BaseVersion, Delete: r.Delete})
	}
	h.edit(c, rows)
}

func (h *Handler) edit(c *call, rows []*wire.RowEdit) {
	id := c.r.Header.Get("Idempotency-Key")
	if id == "" {
		id = rand.Text()
	}
	reply, err := h.client.Edit(c.r.Context(), &wire.TableEdit{EditId: id, By: c.operator, Rows: rows})
	if err != nil {
		h.counts.undecided.Inc(1)
		kernel.Warn(h.log, "An edit is not decided.", "by", c.operator, "edit", id, "err", err)
		c.w.Header().Set("Retry-After", "1")
		c.problem(http.StatusServiceUnavailable, "The edit is not decided. Send it again with the same Idempotency-Key.", err.Error())
		return
	}
	h.answerEdit(c, id, reply)
}

func (h *Handler) answerEdit(c *call, id string, reply *wire.EditReply) {
	switch reply.Status {
	case wire.EditStatus_EDIT_STATUS_ACCEPTED:
		if !reply.Replayed {
			h.counts.accepted.Inc(1)
			h.logEdit(c.operator, id, reply)
		}
		if len(reply.Rows) == 1 {
			c.w.Header().Set("ETag", etag(reply.Rows[0].Version))
		}
		kernel.WriteJSON(c.w, http.StatusOK, Edited{
			Rows: rowsOf(reply.Rows), Replayed: reply.Replayed, Force: h.waitForce(c.r.Context(), reply.Revision),
		})
	case wire.EditStatus_EDIT_STATUS_CONFLICT:
		h.counts.conflicts.Inc(1)
		c.writeProblem(&problem{
			Type: "urn:snipereach:edit:conflict", Title: "The row was changed by another edit.",
			Status: http.StatusPreconditionFailed, Detail: reply.Detail, Row: reply.Row, InForce: rowsOf(reply.Rows),
		})
	default:
		h.counts.invalid.Inc(1)
		c.writeProblem(&problem{
			Type: "urn:snipereach:edit:invalid", Title: "The edit is not valid.",
			Status: http.StatusUnprocessableEntity, Detail: reply.Detail, Row: reply.Row, Column: reply.Column,
		})
	}
}

// logEdit writes a line for each row: who changed what, and to which version.
// Cells stay out of the log; the history has them.
func (h *Handler) logEdit(by, id string, reply *wire.EditReply) {
	for _, r := range reply.Rows {
		verb := "Changed a row."
		if r.Deleted {
			verb = "Deleted a row."
		}
		kernel.Info(h.log, verb, "by", by, "row", r.Kind+" "+r.Key, "version", r.Version, "revision", reply.Revision, "edit", id)
	}
}

// waitForce waits until every entry that is heard has a revision in force, but
// not for long: an entry that lags is named in the answer. A silent one is not
// waited for, but named: it may serve callers behind a partition.
func (h *Handler) waitForce(ctx context.Context, revision uint64) Force {
	end := time.Now().Add(forceWait)
	for {
		f := h.force(revision)
		if len(f.Lagging) == f.silent || time.Now().After(end) {
			return f
		}
		select {
		case <-ctx.Done():
			return f
		case <-time.After(forcePoll):
		}
	}
}

func (h *Handler) force(revision uint64) Force {
	f := Force{Revision: revision}
	for _, e := range h.system.Entries() {
		f.Entries++
		if e.Revision >= revision {
			f.InForce++
			continue
		}
		f.Lagging = append(f.Lagging, e.ID)
		if e.Phase == PhaseSilent {
			f.silent++
		}
	}
	return f
}

func (h *Handler) inForce(c *call) {
	revision, err := strconv.ParseUint(mux.Vars(c.r)["revision"], 10, 64)
	if err != nil {
		c.problem(http.StatusBadRequest, "Not a revision.", err.Error())
		return
	}
	kernel.WriteJSON(c.w, http.StatusOK, h.force(revision))
}
