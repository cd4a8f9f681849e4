package operators

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/ansel1/merry/v2"
	"github.com/gorilla/mux"

	"github.com/snipereach/snipereach/control"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

// Errors that a System returns.
var (
	ErrUnknownProcess = merry.Sentinel("no such process is known")
	ErrNotReached     = merry.Sentinel("the process can't be reached")
)

// PhaseSilent is the phase of an instance whose lease ran out without a word.
const PhaseSilent = "silent"

// EntryState is an entry as the asked one knows it.
type EntryState struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`
	// Phase is up, leaving or silent.
	Phase string `json:"phase"`
	// Revision of the table that it has in force.
	Revision uint64 `json:"revision"`
	// Listed says whether callers are told of it.
	Listed bool `json:"listed"`
}

// UpstreamState is an upstream as the asked entry knows it.
type UpstreamState struct {
	ID            string   `json:"id"`
	FailureDomain string   `json:"failure_domain"`
	Address       string   `json:"address"`
	Kind          string   `json:"kind"`
	Pools         []string `json:"pools"`
	// Phase is up, leaving or silent.
	Phase string `json:"phase"`
	// Running and Waiting are requests, Slots how many run at once.
	Running uint32 `json:"running"`
	Waiting uint32 `json:"waiting"`
	Slots   uint32 `json:"slots"`
}

// Drained says what a process that was told to leave still has to do.
type Drained struct {
	ID      string `json:"id"`
	Running uint32 `json:"running"`
	Waiting uint32 `json:"waiting"`
}

// System is what the handler asks of the entry that it stands in.
type System interface {
	Entries() []EntryState
	Upstreams() []UpstreamState
	// Dump returns the state of a process as JSON; an address stands in for an
	// ID that is in no directory.
	Dump(ctx context.Context, id, address string) (json.RawMessage, error)
	// Drain makes an upstream or an entry leave.
	Drain(ctx context.Context, id, by string) (Drained, error)
}

// Status is the whole system as the asked entry knows it.
type Status struct {
	// Health of the replicated log; HealthUnknown if no leader answers.
	Health    string          `json:"health"`
	Detail    string          `json:"detail,omitempty"`
	Replicas  []Member        `json:"replicas"`
	Entries   []EntryState    `json:"entries"`
	Upstreams []UpstreamState `json:"upstreams"`
}

// HealthUnknown is the health of a log whose leader doesn't answer.
const HealthUnknown = "no-leader"

func (h *Handler) status(c *call) {
	s := Status{Replicas: []Member{}, Entries: h.system.Entries(), Upstreams: h.system.Upstreams()}
	reply, err := h.callMembers(c.r.Context(), &wire.MembersRequest{Verb: control.VerbList})
	if err != nil {
		s.Health, s.Detail = HealthUnknown, err.Error()
	} else {
		s.Health, s.Replicas = reply.Health, membersOf(reply)
	}
	kernel.WriteJSON(c.w, http.StatusOK, s)
}

func (h *Handler) drain(c *call) {
	id := mux.Vars(c.r)["id"]
	d, err := h.system.Drain(c.r.Context(), id, c.operator)
	if err != nil {
		c.systemProblem(err)
		return
	}
	kernel.Info(h.log, "Told a process to leave.", "by", c.operator, "id", id, "running", d.Running, "waiting", d.Waiting)
	kernel.WriteJSON(c.w, http.StatusOK, d)
}

func (h *Handler) dump(c *call) {
	id := mux.Vars(c.r)["id"]
	state, err := h.system.Dump(c.r.Context(), id, h.replicaAddress(c.r.Context(), id))
	if err != nil {
		c.systemProblem(err)
		return
	}
	kernel.WriteJSON(c.w, http.StatusOK, state)
}

// replicaAddress finds a control replica by its name or its whole ID. Replicas
// that are no entries stand in no directory.
func (h *Handler) replicaAddress(ctx context.Context, id string) string {
	reply, err := h.callMembers(ctx, &wire.MembersRequest{Verb: control.VerbList})
	if err != nil {
		return ""
	}
	for _, m := range reply.Members {
		if m.Id == id || control.NameOf(m.Id) == id {
			return m.Address
		}
	}
	return ""
}

func (c *call) systemProblem(err error) {
	if errors.Is(err, ErrUnknownProcess) {
		c.problem(http.StatusNotFound, "No such process is known here.", err.Error())
		return
	}
	c.problem(http.StatusServiceUnavailable, "The process can't be reached.", err.Error())
}
