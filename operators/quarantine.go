package operators

import (
	"context"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/quarantine"
	"github.com/snipereach/snipereach/wire"
)

// SuspectedRequests lists the requests during which upstreams crashed, as known to
// one control replica.
type SuspectedRequests struct {
	Requests []quarantine.SuspicionView `json:"requests"`
}

func (h *Handler) listSuspected(c *call) {
	var reply *wire.ListSuspicionsReply
	err := h.client.CallQuarantine(c.r.Context(), func(ctx context.Context, q wire.DRPCQuarantineClient) (err error) {
		reply, err = q.List(ctx, &wire.ListSuspicionsRequest{})
		return err
	})
	if err != nil {
		c.writeError(http.StatusServiceUnavailable, "No control replica answers.", err.Error())
		return
	}
	kernel.WriteJSON(c.w, http.StatusOK, SuspectedRequests{Requests: quarantine.SuspicionViews(reply.Suspicions)})
}

// liftQuarantine allows a quarantined request to be sent to upstreams again, and
// clears its record.
func (h *Handler) liftQuarantine(c *call) {
	key, err := quarantine.ParseKey(mux.Vars(c.r)["key"])
	if err != nil {
		c.writeError(http.StatusBadRequest, "Not the key of a request.", err.Error())
		return
	}
	kernel.Info(h.log, "Lift of a quarantine requested.", "by", c.operator, "key", key)
	var reply *wire.LiftQuarantineReply
	err = h.client.CallQuarantine(c.r.Context(), func(ctx context.Context, q wire.DRPCQuarantineClient) (err error) {
		reply, err = q.Lift(ctx, &wire.LiftQuarantineRequest{Key: key[:]})
		return err
	})
	switch {
	case err != nil:
		c.writeError(http.StatusServiceUnavailable, "No leader answers. The log may have no quorum.", err.Error())
	case !reply.Found:
		c.writeError(http.StatusNotFound, "No such request is in quarantine.", key.String())
	default:
		c.w.WriteHeader(http.StatusNoContent)
	}
}
