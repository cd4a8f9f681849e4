package operators

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/snipereach/snipereach/control"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

// Group is the state of a group of ranks and of its expert map.
type Group struct {
	Group   string `json:"group"`
	Planner string `json:"planner"`
	Paused  bool   `json:"paused"`
	// Pinned is the epoch of the map that an operator has pinned; 0 is none.
	Pinned   uint64 `json:"pinned,omitempty"`
	PinnedBy string `json:"pinned_by,omitempty"`
	// Epoch identifies the current map, FromStep is the first step that used it.
	Epoch    uint64 `json:"epoch"`
	FromStep uint64 `json:"from_step"`
	// Earlier holds the epochs of earlier maps that can be pinned.
	Earlier []uint64 `json:"earlier,omitempty"`
	// Skew is the load of the busiest rank divided by the mean load, in the last
	// window of counters; 0 is unknown.
	Skew    float64 `json:"skew"`
	Windows uint64  `json:"windows"`
	// Switch is the change of map in progress, if any.
	Switch *Switch `json:"switch,omitempty"`
	// Last is the planner's last decision, also if it was to move nothing.
	Last *MapReason `json:"last,omitempty"`
	// Error says why no map is planned, if so.
	Error   string         `json:"error,omitempty"`
	Ranks   []Rank         `json:"ranks"`
	Records []SwitchRecord `json:"records"`
}

// MapReason says who made a map and why. Repeats is the epoch of the earlier map
// that it repeats; 0 is none.
type MapReason struct {
	By         string  `json:"by"`
	Why        string  `json:"why"`
	Moves      uint32  `json:"moves"`
	SkewBefore float64 `json:"skew_before,omitempty"`
	SkewAfter  float64 `json:"skew_after,omitempty"`
	// Gain and Price are in seconds of group time, weighted by the group's row.
	Gain    float64 `json:"gain_seconds,omitempty"`
	Price   float64 `json:"price_seconds,omitempty"`
	Repeats uint64  `json:"repeats,omitempty"`
	At      string  `json:"at,omitempty"`
}

// Switch is a change of map in progress.
type Switch struct {
	Epoch  uint64     `json:"epoch"`
	Phase  string     `json:"phase"`
	Step   uint64     `json:"step,omitempty"`
	Reason *MapReason `json:"reason"`
}

// SwitchRecord is a finished change of map and its outcome.
type SwitchRecord struct {
	Epoch   uint64     `json:"epoch"`
	Outcome string     `json:"outcome"`
	Detail  string     `json:"detail,omitempty"`
	At      string     `json:"at,omitempty"`
	Reason  *MapReason `json:"reason"`
}

// Rank is the state of one rank of a group.
type Rank struct {
	Rank     uint32 `json:"rank"`
	Upstream string `json:"upstream,omitempty"`
	Epoch    uint64 `json:"epoch"`
	NextStep uint64 `json:"next_step"`
	// Armed is the epoch of the map before whose first step the rank stops until
	// the switch is decided; 0 is none.
	Armed  uint64 `json:"armed,omitempty"`
	Detail string `json:"detail,omitempty"`
}

// Groups is the response to a list request.
type Groups struct {
	Groups []Group `json:"groups"`
}

// GroupChange is the body of a request to pin, unpin or undo a map, and of the
// response.
type GroupChange struct {
	Epoch  uint64 `json:"epoch,omitempty"`
	Detail string `json:"detail,omitempty"`
}

func (h *Handler) registerGroups(r *mux.Router) {
	r.HandleFunc("/v1/groups", h.withAuth(h.getGroups)).Methods(http.MethodGet)
	r.HandleFunc("/v1/groups/{group}", h.withAuth(h.getGroups)).Methods(http.MethodGet)
	r.HandleFunc("/v1/groups/{group}/{verb:pin|unpin|undo}", h.withAuth(h.changeGroup)).Methods(http.MethodPost)
}

func (h *Handler) getGroups(c *call) {
	name := mux.Vars(c.r)["group"]
	var reply *wire.GroupsReply
	err := h.client.Call(c.r.Context(), func(ctx context.Context, cc wire.DRPCControlClient) (err error) {
		reply, err = cc.Groups(ctx, &wire.GroupsRequest{Group: name})
		return err
	})
	if err != nil {
		c.writeError(http.StatusServiceUnavailable, "The groups can't be read now.", err.Error())
		return
	}
	out := Groups{Groups: []Group{}}
	for _, v := range reply.Groups {
		out.Groups = append(out.Groups, groupOf(v))
	}
	if name == "" {
		kernel.WriteJSON(c.w, http.StatusOK, out)
		return
	}
	if len(out.Groups) == 0 {
		c.writeError(http.StatusNotFound, "No leader knows this group.", name)
		return
	}
	kernel.WriteJSON(c.w, http.StatusOK, out.Groups[0])
}

func (h *Handler) changeGroup(c *call) {
	v := mux.Vars(c.r)
	var body GroupChange
	if v["verb"] == control.VerbPin && !c.decodeBody(&body) {
		return
	}
	var reply *wire.GroupChangeReply
	err := h.client.Call(c.r.Context(), func(ctx context.Context, cc wire.DRPCControlClient) (err error) {
		reply, err = cc.ChangeGroup(ctx, &wire.GroupChangeRequest{Group: v["group"], Verb: v["verb"], Epoch: body.Epoch, By: c.operator})
		return err
	})
	if err != nil {
		c.writeError(http.StatusServiceUnavailable, "No leader answers. The change may or may not have been made.", err.Error())
		return
	}
	if !reply.Accepted {
		c.writeError(http.StatusConflict, "The change is refused.", reply.Detail)
		return
	}
	kernel.WriteJSON(c.w, http.StatusOK, GroupChange{Detail: reply.Detail})
}

func groupOf(v *wire.GroupView) Group {
	g := Group{
		Group: v.Group, Planner: v.Planner, Paused: v.Paused, Skew: v.Skew, Windows: v.Windows,
		Last: reasonOf(v.Last), Error: v.Error, Ranks: []Rank{}, Records: []SwitchRecord{},
	}
	for _, r := range v.Ranks {
		g.Ranks = append(g.Ranks, Rank{r.Rank, r.Upstream, r.Epoch, r.NextStep, r.Armed, r.Detail})
	}
	s := v.State
	if s == nil {
		return g
	}
	g.Epoch, g.FromStep = s.Map.Epoch, s.Map.FromStep
	g.Pinned, g.PinnedBy = s.Pinned, s.PinnedBy
	for _, m := range s.Earlier {
		g.Earlier = append(g.Earlier, m.Epoch)
	}
	if sw := s.Switch; sw != nil {
		g.Switch = &Switch{Epoch: sw.Map.Epoch, Phase: phaseName(sw.Phase), Step: sw.Step, Reason: reasonOf(sw.Reason)}
	}
	for _, r := range s.Records {
		g.Records = append(g.Records, SwitchRecord{r.Epoch, r.Outcome, r.Detail, formatTime(r.AtMs), reasonOf(r.Reason)})
	}
	return g
}

func phaseName(p wire.SwitchPhase) string {
	switch p {
	case wire.SwitchPhase_SWITCH_PHASE_STAGING:
		return "staging"
	case wire.SwitchPhase_SWITCH_PHASE_ARMING:
		return "arming"
	case wire.SwitchPhase_SWITCH_PHASE_COMMITTED:
		return "committed"
	}
	return "unknown"
}

func reasonOf(r *wire.MapReason) *MapReason {
	if r == nil {
		return nil
	}
	return &MapReason{
		By: r.By, Why: r.Why, Moves: r.Moves, SkewBefore: r.SkewBefore, SkewAfter: r.SkewAfter,
		Gain: r.Gain, Price: r.Price, Repeats: r.Repeats, At: formatTime(r.AtMs),
	}
}

func formatTime(ms int64) string {
	if ms == 0 {
		return ""
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}
