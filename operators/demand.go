package operators

import (
	"net/http"
	"time"

	"github.com/snipereach/snipereach/kernel"
)

// demandTimeout bounds the calls to all control replicas together.
const demandTimeout = time.Second

func (h *Handler) listDemand(c *call) {
	list, err := h.client.ListDemand(c.r.Context(), demandTimeout)
	if err != nil {
		c.writeError(http.StatusServiceUnavailable, "No control replica answers.", err.Error())
		return
	}
	kernel.WriteJSON(c.w, http.StatusOK, list)
}
