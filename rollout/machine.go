package rollout

import (
	"fmt"
	"slices"
	"sort"

	"github.com/snipereach/snipereach/placement"
	"github.com/snipereach/snipereach/wire"
)

// Limits on the history in a group's state.
const (
	// MaxEarlierMaps is the number of earlier maps kept, to which a group can be pinned or
	// rolled back.
	MaxEarlierMaps = 4
	// MaxSwitchRecords is the number of finished switches kept.
	MaxSwitchRecords = 50
)

// Outcomes of a finished switch.
const (
	OutcomeInForce   = "in-force"
	OutcomeCancelled = "cancelled"
)

// Result is the result of a group command. Detail gives the reason for a rejection.
type Result struct {
	Accepted bool
	Detail   string
}

// Machine is the replicated state machine that holds the maps of all groups. The states
// that it returns are immutable. It is not safe for concurrent use.
type Machine struct {
	groups map[string]*wire.GroupState
}

// NewMachine returns a machine without groups.
func NewMachine() *Machine { return &Machine{groups: map[string]*wire.GroupState{}} }

// Get returns a group's state, or nil.
func (m *Machine) Get(group string) *wire.GroupState { return m.groups[group] }

// Groups returns the names of the groups that have a state, sorted.
func (m *Machine) Groups() []string {
	var names []string
	for name := range m.groups {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func refused(format string, args ...any) Result {
	return Result{Detail: fmt.Sprintf(format, args...)}
}

// Apply applies a committed command. token is the group's fencing token in force at this
// index. Commands with another token are rejected, except for pins, which carry none.
func (m *Machine) Apply(index uint64, c *wire.GroupCommand, token uint64) Result {
	if p := c.GetPin(); p != nil {
		return m.pinMap(c.Group, p)
	}
	// Commands of a leader that has lost its lease may still be in flight. They may
	// be outdated, since the next leader may have decided meanwhile.
	if c.Token != token {
		return refused("fencing token %d is stale", c.Token)
	}
	old := m.groups[c.Group]
	if i := c.GetInstall(); i != nil {
		return m.installMap(index, c, old)
	}
	if old == nil {
		return refused("group has no map")
	}
	next := copyState(old)
	var r Result
	switch {
	case c.GetBegin() != nil:
		r = beginSwitch(index, next, c.GetBegin())
	case c.GetArm() != nil:
		r = armSwitch(next, c.GetArm())
	case c.GetDecide() != nil:
		r = decideSwitch(next, c.GetDecide(), c.AtMs)
	case c.GetConfirm() != nil:
		r = confirmSwitch(next, c.GetConfirm(), c.AtMs)
	default:
		r = refused("unknown command")
	}
	if r.Accepted {
		m.groups[c.Group] = next
	}
	return r
}

// copyState returns a shallow copy of a state. Maps and records are immutable.
func copyState(s *wire.GroupState) *wire.GroupState {
	return &wire.GroupState{
		Group: s.Group, Map: s.Map, Earlier: s.Earlier, Switch: s.Switch, Records: s.Records,
		Settled: s.Settled, Pinned: s.Pinned, PinnedBy: s.PinnedBy,
	}
}

func withEpoch(g *wire.GroupMap, epoch, fromStep uint64) *wire.GroupMap {
	return &wire.GroupMap{
		Epoch: epoch, Ranks: g.Ranks, Experts: g.Experts, Layers: g.Layers, Slots: g.Slots,
		ExpertsInSlots: g.ExpertsInSlots, FromStep: fromStep,
	}
}

func (m *Machine) installMap(index uint64, c *wire.GroupCommand, old *wire.GroupState) Result {
	if old != nil {
		return refused("group already has a map")
	}
	g := c.GetInstall()
	if err := ToPlacementMap(g).Check(ShapeOf(g)); err != nil {
		return refused("%v", err)
	}
	m.groups[c.Group] = &wire.GroupState{Group: c.Group, Map: withEpoch(g, index, 0), Settled: index}
	return Result{Accepted: true}
}

func beginSwitch(index uint64, s *wire.GroupState, b *wire.BeginSwitch) Result {
	switch {
	case s.Switch != nil:
		return refused("a switch is in progress")
	case s.Map.Epoch != b.Base:
		return refused("map %d is in force, not %d", s.Map.Epoch, b.Base)
	case ShapeOf(s.Map) != ShapeOf(b.Map):
		return refused("the map has a different shape")
	}
	if err := ToPlacementMap(b.Map).Check(ShapeOf(b.Map)); err != nil {
		return refused("%v", err)
	}
	// The log index serves as epoch, so the epoch of a cancelled switch is never
	// reused for another map.
	s.Switch = &wire.Switch{Map: withEpoch(b.Map, index, 0), Phase: wire.SwitchPhase_SWITCH_PHASE_STAGING, Reason: b.Reason}
	return Result{Accepted: true}
}

func armSwitch(s *wire.GroupState, a *wire.ArmSwitch) Result {
	if s.Switch == nil || s.Switch.Map.Epoch != a.Epoch || s.Switch.Phase != wire.SwitchPhase_SWITCH_PHASE_STAGING {
		return refused("no switch to map %d is staging", a.Epoch)
	}
	s.Switch = &wire.Switch{
		Map: s.Switch.Map, Reason: s.Switch.Reason,
		Phase: wire.SwitchPhase_SWITCH_PHASE_ARMING, Step: a.Step,
	}
	return Result{Accepted: true}
}

// decideSwitch accepts the first decision of a switch and rejects any later one, so that
// all leaders agree on the outcome.
func decideSwitch(s *wire.GroupState, d *wire.DecideSwitch, atMs int64) Result {
	sw := s.Switch
	if sw == nil || sw.Map.Epoch != d.Epoch || !Undecided(sw) {
		return refused("no switch to map %d is undecided", d.Epoch)
	}
	if !d.Commit {
		s.Settled = max(s.Settled, d.Epoch)
		s.Switch = nil
		addRecord(s, &wire.SwitchRecord{Epoch: d.Epoch, Reason: sw.Reason, Outcome: OutcomeCancelled, Detail: d.Detail, AtMs: atMs})
		return Result{Accepted: true}
	}
	if sw.Phase != wire.SwitchPhase_SWITCH_PHASE_ARMING {
		return refused("map %d is not armed", d.Epoch)
	}
	s.Settled = max(s.Settled, d.Epoch)
	s.Earlier = slices.Insert(slices.Clone(s.Earlier), 0, s.Map)
	if len(s.Earlier) > MaxEarlierMaps {
		s.Earlier = s.Earlier[:MaxEarlierMaps]
	}
	s.Map = withEpoch(sw.Map, d.Epoch, sw.Step)
	s.Switch = &wire.Switch{Map: s.Map, Reason: sw.Reason, Step: sw.Step, Phase: wire.SwitchPhase_SWITCH_PHASE_COMMITTED}
	return Result{Accepted: true}
}

func confirmSwitch(s *wire.GroupState, c *wire.ConfirmSwitch, atMs int64) Result {
	sw := s.Switch
	if sw == nil || sw.Map.Epoch != c.Epoch || sw.Phase != wire.SwitchPhase_SWITCH_PHASE_COMMITTED {
		return refused("no switch to map %d is committed", c.Epoch)
	}
	s.Switch = nil
	addRecord(s, &wire.SwitchRecord{Epoch: c.Epoch, Reason: sw.Reason, Outcome: OutcomeInForce, AtMs: atMs})
	return Result{Accepted: true}
}

func addRecord(s *wire.GroupState, r *wire.SwitchRecord) {
	s.Records = slices.Insert(slices.Clone(s.Records), 0, r)
	if len(s.Records) > MaxSwitchRecords {
		s.Records = s.Records[:MaxSwitchRecords]
	}
}

func (m *Machine) pinMap(group string, p *wire.PinMap) Result {
	old := m.groups[group]
	if old == nil {
		return refused("group has no map")
	}
	if p.Epoch != 0 && MapByEpoch(old, p.Epoch) == nil {
		return refused("map %d is not kept", p.Epoch)
	}
	next := copyState(old)
	next.Pinned, next.PinnedBy = p.Epoch, p.By
	if p.Epoch == 0 {
		next.PinnedBy = ""
	}
	m.groups[group] = next
	return Result{Accepted: true}
}

// MapByEpoch returns the map in force or the kept earlier map with an epoch, or nil.
func MapByEpoch(s *wire.GroupState, epoch uint64) *wire.GroupMap {
	if s.Map.Epoch == epoch {
		return s.Map
	}
	for _, g := range s.Earlier {
		if g.Epoch == epoch {
			return g
		}
	}
	return nil
}

// Undecided reports whether a switch is in progress and not committed.
func Undecided(s *wire.Switch) bool {
	return s != nil && s.Phase != wire.SwitchPhase_SWITCH_PHASE_COMMITTED
}

// ShapeOf returns the shape that a map was made for.
func ShapeOf(g *wire.GroupMap) placement.Shape {
	return placement.Shape{Ranks: int(g.Ranks), Experts: int(g.Experts), Layers: int(g.Layers), Slots: int(g.Slots)}
}

// ToPlacementMap converts a map for planners.
func ToPlacementMap(g *wire.GroupMap) *placement.Map {
	return &placement.Map{Epoch: g.Epoch, Slots: g.ExpertsInSlots}
}

// FromPlacementMap converts a planner's map for the log, which assigns its epoch.
func FromPlacementMap(s placement.Shape, m *placement.Map) *wire.GroupMap {
	return &wire.GroupMap{
		Ranks: uint32(s.Ranks), Experts: uint32(s.Experts), Layers: uint32(s.Layers), Slots: uint32(s.Slots),
		ExpertsInSlots: m.Slots,
	}
}

// Snapshot returns the state of all groups.
func (m *Machine) Snapshot() *wire.GroupsSnapshot {
	s := &wire.GroupsSnapshot{}
	for _, name := range m.Groups() {
		s.Groups = append(s.Groups, m.groups[name])
	}
	return s
}

// Restore replaces the state of all groups.
func (m *Machine) Restore(s *wire.GroupsSnapshot) {
	m.groups = map[string]*wire.GroupState{}
	for _, g := range s.GetGroups() {
		m.groups[g.Group] = g
	}
}
