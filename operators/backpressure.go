package operators

import (
	"net/http"
	"time"

	"github.com/snipereach/snipereach/backpressure"
	"github.com/snipereach/snipereach/kernel"
)

// backpressureTimeout bounds the call to one control replica.
const backpressureTimeout = time.Second

// Backpressure lists the upstreams that ask anything of gateways: a limit, rest, or no more requests as
// they leave.
type Backpressure struct {
	Upstreams []backpressure.View `json:"upstreams"`
}

func (h *Handler) listBackpressure(c *call) {
	views, err := h.client.ListBackpressure(c.r.Context(), backpressureTimeout)
	if err != nil {
		c.writeError(http.StatusServiceUnavailable, "No control replica answers.", err.Error())
		return
	}
	kernel.WriteJSON(c.w, http.StatusOK, Backpressure{Upstreams: views})
}
