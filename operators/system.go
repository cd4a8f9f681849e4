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

// Errors returned by the methods of a System.
var (
	ErrUnknownProcess = merry.Sentinel("no such process is known")
	ErrUnreachable    = merry.Sentinel("the process can't be reached")
)

// PhaseSilent is the phase of an instance whose lease ran out without an
// announcement that it is gone.
const PhaseSilent = "silent"

// EntryState is the state of an entry, as known to the entry that serves the
// request.
type EntryState struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`
	// Phase is up, leaving or silent.
	Phase string `json:"phase"`
	// Revision is the revision of the table that the entry has applied.
	Revision uint64 `json:"revision"`
	// Listed says whether the entry is in the list of entries given to callers.
	Listed bool `json:"listed"`
}

// UpstreamState is the state of an upstream, as known to the entry that serves the
// request.
type UpstreamState struct {
	ID            string   `json:"id"`
	FailureDomain string   `json:"failure_domain"`
	Address       string   `json:"address"`
	Kind          string   `json:"kind"`
	Pools         []string `json:"pools"`
	// Phase is up, leaving or silent.
	Phase string `json:"phase"`
	// Running and Waiting count requests. Slots is the concurrency limit.
	Running uint32 `json:"running"`
	Waiting uint32 `json:"waiting"`
	Slots   uint32 `json:"slots"`
}

// DrainStatus counts the requests that a draining process still runs and queues.
type DrainStatus struct {
	ID      string `json:"id"`
	Running uint32 `json:"running"`
	Waiting uint32 `json:"waiting"`
}

// System gives access to the processes of the system. The entry that runs the
// handler implements it.
type System interface {
	Entries() []EntryState
	Upstreams() []UpstreamState
	// Evacuated returns the evacuated failure domains, sorted.
	Evacuated() []string
	// Dump returns the state of a process as JSON. The address is used if the
	// directory doesn't contain the ID.
	Dump(ctx context.Context, id, address string) (json.RawMessage, error)
	// Drain starts to drain an upstream or an entry on behalf of the operator by.
	Drain(ctx context.Context, id, by string) (DrainStatus, error)
}

// Status is the state of the whole system, as known to the entry that serves the
// request.
type Status struct {
	// Health is that of the replicated log; HealthUnknown if no leader answers.
	Health    string          `json:"health"`
	Detail    string          `json:"detail,omitempty"`
	Replicas  []Member        `json:"replicas"`
	Entries   []EntryState    `json:"entries"`
	Upstreams []UpstreamState `json:"upstreams"`
	// Evacuated are the evacuated failure domains, sorted.
	Evacuated []string `json:"evacuated,omitempty"`
}

// HealthUnknown is the health of a log whose leader doesn't answer.
const HealthUnknown = "no-leader"

func (h *Handler) getStatus(c *call) {
	s := Status{Replicas: []Member{}, Entries: h.system.Entries(), Upstreams: h.system.Upstreams(), Evacuated: h.system.Evacuated()}
	reply, err := h.callMembers(c.r.Context(), &wire.MembersRequest{Verb: control.VerbList})
	if err != nil {
		s.Health, s.Detail = HealthUnknown, err.Error()
	} else {
		s.Health, s.Replicas = reply.Health, membersOf(reply)
	}
	kernel.WriteJSON(c.w, http.StatusOK, s)
}

func (h *Handler) drainProcess(c *call) {
	id := mux.Vars(c.r)["id"]
	d, err := h.system.Drain(c.r.Context(), id, c.operator)
	if err != nil {
		c.writeSystemError(err)
		return
	}
	kernel.Info(h.log, "Started to drain a process.", "by", c.operator, "id", id, "running", d.Running, "waiting", d.Waiting)
	kernel.WriteJSON(c.w, http.StatusOK, d)
}

func (h *Handler) dumpProcess(c *call) {
	id := mux.Vars(c.r)["id"]
	state, err := h.system.Dump(c.r.Context(), id, h.replicaAddress(c.r.Context(), id))
	if err != nil {
		c.writeSystemError(err)
		return
	}
	kernel.WriteJSON(c.w, http.StatusOK, state)
}

// replicaAddress returns the address of the control replica with a name or full
// ID, or "". The directory doesn't contain replicas that run outside entries.
func (h *Handler) replicaAddress(ctx context.Context, id string) string {
	reply, err := h.callMembers(ctx, &wire.MembersRequest{Verb: control.VerbList})
	if err != nil {
		return ""
	}
	for _, m := range reply.Members {
		if m.Id == id || control.ReplicaName(m.Id) == id {
			return m.Address
		}
	}
	return ""
}

func (c *call) writeSystemError(err error) {
	if errors.Is(err, ErrUnknownProcess) {
		c.writeError(http.StatusNotFound, "No such process is known here.", err.Error())
		return
	}
	c.writeError(http.StatusServiceUnavailable, "The process can't be reached.", err.Error())
}
