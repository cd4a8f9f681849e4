package control

import (
	"context"
	"fmt"
	"sort"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/rollout"
	"github.com/snipereach/snipereach/wire"
)

// Verbs of ChangeGroup.
const (
	VerbPin   = "pin"
	VerbUnpin = "unpin"
	VerbUndo  = "undo"
)

// Groups implements the Control service.
func (s *service) Groups(ctx context.Context, req *wire.GroupsRequest) (*wire.GroupsReply, error) {
	reply, done, err := forwardToLeader(ctx, s, func(ctx context.Context, c wire.DRPCControlClient) (*wire.GroupsReply, error) {
		return c.Groups(ctx, req)
	})
	if done || err != nil {
		return reply, err
	}
	return &wire.GroupsReply{Groups: s.groups.views(req.Group)}, nil
}

// views returns the groups that have a driver, sorted by name; only selects one of them
// unless it is empty.
func (g *groupLeader) views(only string) []*wire.GroupView {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []*wire.GroupView
	for name, d := range g.drivers {
		if only == "" || only == name {
			list = append(list, d.view())
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Group < list[j].Group })
	return list
}

// groupDump describes a group led by this replica in a state dump. It omits the expert
// maps, which are large.
type groupDump struct {
	Group   string           `json:"group"`
	Token   uint64           `json:"token"`
	Epoch   uint64           `json:"epoch"`
	Switch  uint64           `json:"switch,omitempty"`
	Phase   string           `json:"phase,omitempty"`
	Step    uint64           `json:"step,omitempty"`
	Pinned  uint64           `json:"pinned,omitempty"`
	Error   string           `json:"error,omitempty"`
	Windows uint64           `json:"windows"`
	Ranks   []*wire.RankView `json:"ranks"`
}

func (g *groupLeader) dump() []groupDump {
	var list []groupDump
	for _, v := range g.views("") {
		d := groupDump{Group: v.Group, Token: v.Token, Error: v.Error, Windows: v.Windows, Ranks: v.Ranks}
		if s := v.State; s != nil {
			d.Epoch, d.Pinned = s.Map.Epoch, s.Pinned
			if sw := s.Switch; sw != nil {
				d.Switch, d.Phase, d.Step = sw.Map.Epoch, sw.Phase.String(), sw.Step
			}
		}
		list = append(list, d)
	}
	return list
}

// GroupMaps implements the Control service. It answers from this replica's own state,
// so that agents learn of decisions while the leader can't be reached.
func (s *service) GroupMaps(ctx context.Context, req *wire.GroupsRequest) (*wire.GroupState, error) {
	r := s.currentReplica()
	if r == nil {
		return nil, merry.Prepend(ErrUnavailable, "replica belongs to no cluster yet")
	}
	state := &wire.GroupState{}
	err := r.runInLoop(ctx, func() {
		if st := r.machine.groups.Get(req.Group); st != nil {
			state = st
		}
	})
	return state, err
}

// ChangeGroup implements the Control service.
func (s *service) ChangeGroup(ctx context.Context, req *wire.GroupChangeRequest) (*wire.GroupChangeReply, error) {
	reply, done, err := forwardToLeader(ctx, s, func(ctx context.Context, c wire.DRPCControlClient) (*wire.GroupChangeReply, error) {
		return c.ChangeGroup(ctx, req)
	})
	if done || err != nil {
		return reply, err
	}
	r := s.currentReplica()
	if err := r.barrier(ctx); err != nil {
		return nil, err
	}
	var state *wire.GroupState
	if err := r.runInLoop(ctx, func() { state = r.machine.groups.Get(req.Group) }); err != nil {
		return nil, err
	}
	pin, detail := pinForRequest(state, req)
	if detail != "" {
		return &wire.GroupChangeReply{Detail: detail}, nil
	}
	kernel.Info(s.log, "Group change requested.", "group", req.Group, "verb", req.Verb, "epoch", pin.Epoch, "by", req.By)
	res, err := r.proposeGroupCommand(ctx, &wire.GroupCommand{
		Group: req.Group, Command: &wire.GroupCommand_Pin{Pin: pin},
	})
	if err != nil {
		return nil, err
	}
	if res.Accepted && pin.Epoch != 0 {
		res.Detail = fmt.Sprintf("map %d is pinned", pin.Epoch)
	}
	return &wire.GroupChangeReply{Accepted: res.Accepted, Detail: res.Detail}, nil
}

// pinForRequest converts an operator's request into a pin, or returns why it is rejected.
func pinForRequest(s *wire.GroupState, req *wire.GroupChangeRequest) (*wire.PinMap, string) {
	if s == nil {
		return nil, "no group " + req.Group + " has a map"
	}
	switch req.Verb {
	case VerbUnpin:
		return &wire.PinMap{By: req.By}, ""
	case VerbPin:
		epoch := req.Epoch
		if epoch == 0 {
			epoch = s.Map.Epoch
		}
		return &wire.PinMap{Epoch: epoch, By: req.By}, ""
	case VerbUndo:
		return pinForUndo(s, req.By)
	}
	return nil, "unknown verb " + req.Verb
}

// pinForUndo returns a pin to the map before the last change: the map in force if a
// switch is undecided, and otherwise the map that the one in force replaced.
func pinForUndo(s *wire.GroupState, by string) (*wire.PinMap, string) {
	if rollout.Undecided(s.Switch) {
		return &wire.PinMap{Epoch: s.Map.Epoch, By: by}, ""
	}
	if len(s.Earlier) == 0 {
		return nil, "the group has no earlier map"
	}
	return &wire.PinMap{Epoch: s.Earlier[0].Epoch, By: by}, ""
}
