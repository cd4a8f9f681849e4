package entry

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/operators"
	"github.com/snipereach/snipereach/wire"
)

// processTimeout bounds a call to another process on behalf of an operator.
const processTimeout = 5 * time.Second

// systemView implements operators.System by what the entry knows of the system.
type systemView struct{ *Entry }

func phaseName(i *directory.Instance) string {
	return strings.ToLower(strings.TrimPrefix(i.Phase.String(), "PHASE_"))
}

// eachInstance calls f for each instance of a role, silent ones included, with the phase
// to show.
func (p systemView) eachInstance(role wire.Role, f func(i *directory.Instance, phase string)) {
	for _, i := range p.node.Instances(role) {
		f(i, phaseName(i))
	}
	for _, i := range p.node.Expired(role) {
		f(i, operators.PhaseSilent)
	}
}

// Entries implements operators.System.
func (p systemView) Entries() []operators.EntryState {
	list := []operators.EntryState{}
	p.eachInstance(wire.Role_ROLE_ENTRY, func(i *directory.Instance, phase string) {
		list = append(list, operators.EntryState{
			ID: i.Id, FailureDomain: i.FailureDomain, Address: i.Address, Phase: phase,
			Revision: i.Revision, Listed: i.Listed && i.Up(),
		})
	})
	return list
}

// Evacuated implements operators.System.
func (p systemView) Evacuated() []string {
	v := p.view.Load()
	if v == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(v.Evacuated))
}

// Upstreams implements operators.System.
func (p systemView) Upstreams() []operators.UpstreamState {
	list := []operators.UpstreamState{}
	p.eachInstance(wire.Role_ROLE_UPSTREAM, func(i *directory.Instance, phase string) {
		load := p.agentWatches.load(i)
		list = append(list, operators.UpstreamState{
			ID: i.Id, FailureDomain: i.FailureDomain, Address: i.Address, Kind: i.Kind, Pools: i.Pools,
			Phase: phase, Running: load.GetRunning(), Waiting: load.GetWaiting(), Slots: load.GetSlots(),
		})
	})
	return list
}

// findInstance returns the entry or upstream with the ID, or nil.
func (p systemView) findInstance(id string) *directory.Instance {
	for _, role := range []wire.Role{wire.Role_ROLE_ENTRY, wire.Role_ROLE_UPSTREAM} {
		for _, i := range p.node.Instances(role) {
			if i.Id == id {
				return i
			}
		}
	}
	return nil
}

// Dump implements operators.System.
func (p systemView) Dump(ctx context.Context, id, address string) (json.RawMessage, error) {
	if i := p.findInstance(id); i != nil {
		address = i.Address
	}
	if address == "" {
		return nil, merry.Prepend(operators.ErrUnknownProcess, id)
	}
	ctx, cancel := context.WithTimeout(ctx, processTimeout)
	defer cancel()
	reply, err := wire.NewDRPCProcessClient(p.pool.Conn(ctx, address)).Dump(ctx, &wire.DumpRequest{})
	if err != nil {
		return nil, merry.Prependf(operators.ErrUnreachable, "%s at %s: %v", id, address, err)
	}
	return reply.State, nil
}

// Drain implements operators.System.
func (p systemView) Drain(ctx context.Context, id, operator string) (operators.DrainStatus, error) {
	i := p.findInstance(id)
	if i == nil {
		return operators.DrainStatus{}, merry.Prependf(operators.ErrUnknownProcess, "%s: no upstream or entry of this ID is up", id)
	}
	ctx, cancel := context.WithTimeout(ctx, processTimeout)
	defer cancel()
	conn := p.pool.Conn(ctx, i.Address)
	drain := wire.NewDRPCAgentClient(conn).Drain
	if i.Role == wire.Role_ROLE_ENTRY {
		drain = wire.NewDRPCEntryClient(conn).Drain
	}
	reply, err := drain(ctx, &wire.DrainRequest{By: operator})
	if err != nil {
		return operators.DrainStatus{}, merry.Prependf(operators.ErrUnreachable, "%s at %s: %v", id, i.Address, err)
	}
	return operators.DrainStatus{ID: id, Running: reply.Running, Waiting: reply.Waiting}, nil
}

// drainService implements the Entry RPC service, which other entries call.
type drainService struct{ *Entry }

// Drain implements the Entry RPC service. It starts the drain and returns without
// waiting for its end.
func (s drainService) Drain(ctx context.Context, req *wire.DrainRequest) (*wire.DrainReply, error) {
	kernel.Info(s.log, "Drain requested.", "by", req.By)
	s.startDrain(ctx)
	_, waiting := s.runner.Counts()
	return &wire.DrainReply{Running: uint32(s.requests.Load()), Waiting: uint32(waiting)}, nil
}
