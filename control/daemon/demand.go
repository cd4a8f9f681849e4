package daemon

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/snipereach/snipereach/control"
	"github.com/snipereach/snipereach/kernel"
)

// demandTimeout bounds the calls to all control replicas together.
const demandTimeout = time.Second

// serveDemand answers snipereachctl demand. A system of gateways alone has no entry that could.
func (d *Daemon) serveDemand(w http.ResponseWriter, r *http.Request) {
	addrs := append(d.control.ReplicaAddresses(r.Context()), d.address())
	list, err := control.NewClient(d.pool, addrs, d.settings.ID).ListDemand(r.Context(), demandTimeout)
	if err != nil {
		w.Header().Set("Content-Type", "application/problem+json")
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(map[string]string{"title": "No control replica answers.", "detail": err.Error()})
		return
	}
	kernel.WriteJSON(w, http.StatusOK, list)
}
