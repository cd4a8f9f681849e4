package control

import (
	"context"

	"github.com/snipereach/snipereach/wire"
)

// demandService implements the Demand service, which gateways and operators call. It needs no log, so a
// replica answers also while there is no leader or it belongs to no cluster.
type demandService struct{ *Control }

// Report implements the Demand service.
func (s demandService) Report(_ context.Context, req *wire.DemandReport) (*wire.DemandTotals, error) {
	totals, err := s.demand.Report(req)
	if err != nil {
		s.metrics.Count("control.demand.refused")
		return nil, err
	}
	s.metrics.Count("control.demand.reports")
	return totals, nil
}

// List implements the Demand service.
func (s demandService) List(context.Context, *wire.ListDemandRequest) (*wire.ListDemandReply, error) {
	return &wire.ListDemandReply{Services: s.demand.List()}, nil
}
