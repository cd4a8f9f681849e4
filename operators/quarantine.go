package operators

import (
	"context"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/quarantine"
	"github.com/snipereach/snipereach/wire"
)

// Suspicions is what one control replica holds against requests.
type Suspicions struct {
	Requests []quarantine.Shown `json:"requests"`
}

func (h *Handler) suspicions(c *call) {
	var reply *wire.ListSuspicionsReply
	err := h.client.CallQuarantine(c.r.Context(), func(ctx context.Context, q wire.DRPCQuarantineClient) (err error) {
		reply, err = q.List(ctx, &wire.ListSuspicionsRequest{})
		return err
	})
	if err != nil {
		c.problem(http.StatusServiceUnavailable, "No control replica answers.", err.Error())
		return
	}
	kernel.WriteJSON(c.w, http.StatusOK, Suspicions{Requests: quarantine.Show(reply.Suspicions)})
}

// liftQuarantine has a request sent to upstreams again, with nothing held against it.
func (h *Handler) liftQuarantine(c *call) {
	key, err := quarantine.ParseKey(mux.Vars(c.r)["key"])
	if err != nil {
		c.problem(http.StatusBadRequest, "Not the key of a request.", err.Error())
		return
	}
	kernel.Info(h.log, "Asked to lift a quarantine.", "by", c.operator, "key", key)
	var reply *wire.LiftQuarantineReply
	err = h.client.CallQuarantine(c.r.Context(), func(ctx context.Context, q wire.DRPCQuarantineClient) (err error) {
		reply, err = q.Lift(ctx, &wire.LiftQuarantineRequest{Key: key[:]})
		return err
	})
	switch {
	case err != nil:
		c.problem(http.StatusServiceUnavailable, "No leader answers. The log may have no quorum.", err.Error())
	case !reply.Found:
		c.problem(http.StatusNotFound, "No such request is in quarantine.", key.String())
	default:
		c.w.WriteHeader(http.StatusNoContent)
	}
}
