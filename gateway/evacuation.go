package gateway

import (
	"strings"

	"github.com/snipereach/snipereach/evacuation"
	"github.com/snipereach/snipereach/wire"
)

// applyEvacuations adopts the evacuations that a control replica reports, if they are later than
// those known.
func (g *Gateway) applyEvacuations(v *wire.RoutingVersion, from string) {
	s := &evacuation.State{Revision: v.EvacuationRevision, Domains: v.Evacuated}
	if !g.evacuations.Adopt(s) {
		return
	}
	g.metrics.Count("gateway.evacuations.changed")
	g.logState("Evacuations changed.", "evacuated", strings.Join(s.Domains, ","), "revision", s.Revision, "from", from)
	g.directoryChanged()
}
