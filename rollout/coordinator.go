package rollout

import (
	"fmt"
	"time"

	"github.com/snipereach/snipereach/placement"
	"github.com/snipereach/snipereach/wire"
)

// Config of a Coordinator.
type Config struct {
	Group string
	Shape placement.Shape
	// Token is the fencing token of the lease under which it leads.
	Token uint64
	// Resend is the time after which an order or a command is sent again. It
	// also bounds how long a rank's restart goes unseen during a switch.
	Resend time.Duration
	// Urgent is the same for orders that a stopped group may be waiting for: arm,
	// commit, abort and adopt.
	Urgent time.Duration
	// IdlePoll is the time between status orders while nothing is in progress.
	IdlePoll time.Duration
	// StageTimeout and ArmTimeout bound the phases; a switch that isn't ready
	// by then is cancelled.
	StageTimeout, ArmTimeout time.Duration
	// Lead and MaxLead bound the time between arming and the step of the switch.
	Lead, MaxLead time.Duration
	// MinStep is the shortest step time that is believed of a rank.
	MinStep time.Duration
	// off turns safeguards off; only this package's tests can set it.
	off safeguards
}

// safeguards names what tests turn off to show that the suite would catch its
// absence.
type safeguards struct {
	// log tells the ranks to switch before the decision is on the log.
	log bool
	// blank gives the old map to a restarted rank while a switch is undecided.
	blank bool
}

// DefaultConfig suits links of a few milliseconds and steps of five.
func DefaultConfig(group string, s placement.Shape, token uint64) Config {
	return Config{
		Group: group, Shape: s, Token: token,
		Resend: 250 * time.Millisecond, Urgent: 50 * time.Millisecond, IdlePoll: 2 * time.Second,
		StageTimeout: 10 * time.Minute, ArmTimeout: 5 * time.Second,
		Lead: 50 * time.Millisecond, MaxLead: 2 * time.Second, MinStep: time.Millisecond,
	}
}

// leadMargin covers orders and syncs slower than those measured.
const leadMargin = 2

// Target is a map to switch to, and why.
type Target struct {
	// Base is the epoch that the map was planned on.
	Base   uint64
	Map    *wire.GroupMap
	Reason *wire.MapReason
}

// Outgoing is an order to one rank.
type Outgoing struct {
	Rank  int
	Verb  string
	Order Order
}

// Effects are what a driver must do. Orders may be lost, doubled and overtake
// each other; a command may be lost or accepted late.
type Effects struct {
	Orders  []Outgoing
	Command *wire.GroupCommand
}

type rankState struct {
	heard   bool
	status  Status
	heardAt time.Time
	verb    string
	epoch   uint64
	sentAt  time.Time
	sent    bool
}

// Coordinator is the leader's side of one group's switches. It keeps nothing
// that the next leader would miss: what it does follows from the state on the
// log and the ranks' own words. It is not safe for use by several goroutines.
type Coordinator struct {
	cfg    Config
	state  *wire.GroupState
	ranks  []rankState
	want   *Target
	cancel string
	// phase and since time the phase of the switch in progress.
	phase struct {
		epoch uint64
		phase wire.SwitchPhase
	}
	since time.Time
	// proposed is when the command in flight was first proposed.
	proposed   time.Time
	proposedAs string
	sentAt     time.Time
	// logTime and orderTime are the slowest of late, decaying.
	logTime, orderTime time.Duration
	// lead grows when ranks were armed too late, last for the switch to lateEpoch.
	lead      time.Duration
	lateEpoch uint64
}

// NewCoordinator makes a coordinator that has heard of nothing.
func NewCoordinator(c Config) *Coordinator {
	return &Coordinator{cfg: c, ranks: make([]rankState, c.Shape.Ranks), lead: c.Lead}
}

// Applied takes the group's state on the log; nil if there is none.
func (c *Coordinator) Applied(now time.Time, s *wire.GroupState) {
	if c.state == s {
		return
	}
	if c.proposedAs != "" {
		c.logTime = max(now.Sub(c.proposed), c.logTime*7/8)
		c.proposedAs = ""
	}
	c.state = s
	sw := s.GetSwitch()
	if sw.GetMap().GetEpoch() != c.phase.epoch || sw.GetPhase() != c.phase.phase {
		c.phase.epoch, c.phase.phase = sw.GetMap().GetEpoch(), sw.GetPhase()
		c.since = now
	}
	if c.want != nil && (sw != nil || c.want.Base != s.GetMap().GetEpoch()) {
		c.want = nil
	}
	if !Undecided(sw) {
		c.cancel = ""
	}
	if sw.GetPhase() == wire.SwitchPhase_SWITCH_PHASE_COMMITTED {
		c.lead = max(c.cfg.Lead, c.lead/2)
	}
}

// Heard takes a rank's answer.
func (c *Coordinator) Heard(now time.Time, rank int, s Status) {
	r := &c.ranks[rank]
	// A late answer of an earlier life would show a dead rank as armed.
	if r.heard && (s.Incarnation < r.status.Incarnation || s.Incarnation == r.status.Incarnation && s.Seq <= r.status.Seq) {
		return
	}
	if r.sent {
		c.orderTime = max(now.Sub(r.sentAt), c.orderTime*7/8)
		r.sent = false
	}
	r.heard, r.status, r.heardAt = true, s, now
}

// Roll asks for a switch. It begins once the ranks use the map in force.
func (c *Coordinator) Roll(t *Target) {
	if c.state == nil || c.state.Switch != nil || t.Base != c.state.Map.Epoch {
		return
	}
	c.want = t
}

// Idle says whether no switch is in progress or asked for.
func (c *Coordinator) Idle() bool {
	return c.state != nil && c.state.Switch == nil && c.want == nil
}

// Quiet says whether all ranks use the map in force and nothing is to be done.
func (c *Coordinator) Quiet() bool {
	return c.Idle() && c.allUse(c.state.Map.Epoch)
}

// Cancel ends a switch that is not decided yet.
func (c *Coordinator) Cancel(why string) {
	c.want = nil
	if c.state != nil && Undecided(c.state.Switch) {
		c.cancel = why
	}
}

// Status returns what a rank said last.
func (c *Coordinator) Status(rank int) (Status, bool) {
	return c.ranks[rank].status, c.ranks[rank].heard
}

// Tick returns what is to be done now.
func (c *Coordinator) Tick(now time.Time) Effects {
	var e Effects
	for i := range c.ranks {
		if o, ok := c.tickRank(now, i); ok {
			e.Orders = append(e.Orders, o)
		}
	}
	e.Command = c.tickLog(now)
	return e
}

func (c *Coordinator) tickRank(now time.Time, i int) (Outgoing, bool) {
	r := &c.ranks[i]
	verb, o := c.orderFor(r)
	again := c.again(verb, r)
	if !r.sentAt.IsZero() && verb == r.verb && o.Epoch == r.epoch && now.Sub(r.sentAt) < again {
		return Outgoing{}, false
	}
	r.verb, r.epoch, r.sentAt, r.sent = verb, o.Epoch, now, true
	o.Group, o.Rank, o.Incarnation = c.cfg.Group, i, r.status.Incarnation
	return Outgoing{Rank: i, Verb: verb, Order: o}, true
}

// again is the time after which an order is given once more.
func (c *Coordinator) again(verb string, r *rankState) time.Duration {
	switch verb {
	case VerbArm, VerbCommit, VerbAbort, VerbAdopt:
		return c.cfg.Urgent
	case VerbStatus:
		if r.heard && c.quiet(r) {
			return c.cfg.IdlePoll
		}
	}
	return c.cfg.Resend
}

// quiet says whether nothing is expected to change at a rank.
func (c *Coordinator) quiet(r *rankState) bool {
	return c.Idle() && !r.status.Blank
}

// orderFor chooses the order that a rank needs now.
func (c *Coordinator) orderFor(r *rankState) (string, Order) {
	if !r.heard || c.state == nil {
		return VerbStatus, Order{}
	}
	if r.status.Blank {
		return c.orderForBlank()
	}
	if verb, o, ok := Settle(c.state, r.status); ok {
		return verb, o
	}
	sw := c.state.Switch
	switch {
	case !Undecided(sw):
	case sw.Phase == wire.SwitchPhase_SWITCH_PHASE_STAGING && r.status.Staged != sw.Map.Epoch && r.status.Loading != sw.Map.Epoch:
		return VerbStage, Order{Epoch: sw.Map.Epoch, Base: c.state.Map.Epoch, Map: orderMap(sw.Map)}
	case sw.Phase == wire.SwitchPhase_SWITCH_PHASE_ARMING && r.status.Armed != sw.Map.Epoch:
		return VerbArm, Order{Epoch: sw.Map.Epoch, Step: sw.Step}
	case c.cfg.off.log && c.allArmed():
		return VerbCommit, Order{Epoch: sw.Map.Epoch, Step: sw.Step}
	}
	return VerbStatus, Order{}
}

// orderForBlank gives a restarted rank the map in force. While a switch is
// undecided it waits: the old life of the rank may have been armed, the decision
// to switch may be under way, and the map that is in force now would be the
// wrong one from that step on.
func (c *Coordinator) orderForBlank() (string, Order) {
	if Undecided(c.state.Switch) && !c.cfg.off.blank {
		return VerbStatus, Order{}
	}
	m := c.state.Map
	return VerbAdopt, Order{Epoch: m.Epoch, Step: m.FromStep, Map: orderMap(m)}
}

// Settle chooses the order that tells a rank the end of a switch that it still has
// open, if the state says one. The state may be an old one: what it says of a switch
// that has ended stays true.
func Settle(state *wire.GroupState, s Status) (verb string, o Order, ok bool) {
	inForce := state.GetMap().GetEpoch()
	settled := state.GetSettled()
	switch {
	case s.Armed == inForce && s.Armed != 0 && !s.Decided:
		return VerbCommit, Order{Epoch: inForce, Step: state.Map.FromStep}, true
	case s.Armed != 0 && s.Armed != inForce && s.Armed <= settled:
		return VerbAbort, Order{Epoch: s.Armed}, true
	case s.Staged != 0 && s.Staged != inForce && s.Staged <= settled:
		return VerbAbort, Order{Epoch: s.Staged}, true
	}
	return "", Order{}, false
}

// tickLog returns the command that the log needs now, unless it was proposed a
// moment ago.
func (c *Coordinator) tickLog(now time.Time) *wire.GroupCommand {
	cmd := c.command(now)
	if cmd == nil {
		return nil
	}
	as := fmt.Sprintf("%T", cmd.Command)
	if as != c.proposedAs {
		c.proposed = now
	} else if now.Sub(c.sentAt) < c.cfg.Resend {
		return nil
	}
	c.proposedAs, c.sentAt = as, now
	cmd.Group, cmd.Token = c.cfg.Group, c.cfg.Token
	return cmd
}

func (c *Coordinator) command(now time.Time) *wire.GroupCommand {
	if c.state == nil {
		first := FromMap(c.cfg.Shape, placement.Contiguous(c.cfg.Shape))
		return &wire.GroupCommand{Command: &wire.GroupCommand_Install{Install: first}}
	}
	sw := c.state.Switch
	if sw == nil {
		return c.beginWanted()
	}
	epoch := sw.Map.Epoch
	if sw.Phase == wire.SwitchPhase_SWITCH_PHASE_COMMITTED {
		if c.allUse(epoch) {
			return &wire.GroupCommand{Command: &wire.GroupCommand_Confirm{Confirm: &wire.ConfirmSwitch{Epoch: epoch}}}
		}
		return nil
	}
	if why := c.whyAbort(now, sw); why != "" {
		return decision(epoch, false, why)
	}
	switch {
	case sw.Phase == wire.SwitchPhase_SWITCH_PHASE_ARMING && c.allArmed():
		return decision(epoch, true, "")
	case sw.Phase == wire.SwitchPhase_SWITCH_PHASE_STAGING && c.allStaged(epoch):
		return &wire.GroupCommand{Command: &wire.GroupCommand_Arm{Arm: &wire.ArmSwitch{Epoch: epoch, Step: c.chooseStep(now)}}}
	}
	return nil
}

func decision(epoch uint64, commit bool, why string) *wire.GroupCommand {
	return &wire.GroupCommand{Command: &wire.GroupCommand_Decide{
		Decide: &wire.DecideSwitch{Epoch: epoch, Commit: commit, Detail: why},
	}}
}

func (c *Coordinator) beginWanted() *wire.GroupCommand {
	if c.want == nil || !c.allUse(c.state.Map.Epoch) {
		return nil
	}
	return &wire.GroupCommand{Command: &wire.GroupCommand_Begin{
		Begin: &wire.BeginSwitch{Base: c.want.Base, Map: c.want.Map, Reason: c.want.Reason},
	}}
}

// whyAbort says why an undecided switch is to be cancelled, or "".
func (c *Coordinator) whyAbort(now time.Time, sw *wire.Switch) string {
	if c.cancel != "" {
		return c.cancel
	}
	arming := sw.Phase == wire.SwitchPhase_SWITCH_PHASE_ARMING
	for i, r := range c.ranks {
		s := r.status
		switch {
		case !r.heard:
		case s.Blank || arming && s.Staged != sw.Map.Epoch && s.Armed != sw.Map.Epoch:
			return fmt.Sprintf("rank %d restarted", i)
		case arming && s.Armed != sw.Map.Epoch && s.NextStep > sw.Step:
			c.late(sw.Map.Epoch)
			return fmt.Sprintf("rank %d was armed too late", i)
		}
	}
	limit := c.cfg.StageTimeout
	if arming {
		limit = c.cfg.ArmTimeout
	}
	if now.Sub(c.since) >= limit {
		return fmt.Sprintf("ranks were not ready within %v", limit)
	}
	return ""
}

// late doubles the lead once for each switch that was armed too late.
func (c *Coordinator) late(epoch uint64) {
	if c.lateEpoch != epoch {
		c.lateEpoch = epoch
		c.lead = 2 * c.leadTime()
	}
}

func (c *Coordinator) all(ok func(s Status) bool) bool {
	for _, r := range c.ranks {
		if !r.heard || r.status.Blank || !ok(r.status) {
			return false
		}
	}
	return true
}

func (c *Coordinator) allUse(epoch uint64) bool {
	return c.all(func(s Status) bool { return s.Epoch == epoch && s.Armed == 0 })
}

func (c *Coordinator) allStaged(epoch uint64) bool {
	return c.all(func(s Status) bool { return s.Staged == epoch })
}

func (c *Coordinator) allArmed() bool {
	sw := c.state.Switch
	return c.all(func(s Status) bool { return s.Armed == sw.Map.Epoch && s.ArmedStep == sw.Step })
}

// leadTime is how long it takes to arm, decide and tell: two writes to the log
// and two rounds of orders, by what was measured, with a margin.
func (c *Coordinator) leadTime() time.Duration {
	return min(max(c.lead, leadMargin*(2*c.logTime+2*c.orderTime)), c.cfg.MaxLead)
}

// chooseStep puts the switch so far ahead that in the ordinary case every rank
// knows the decision before it would have to stop.
func (c *Coordinator) chooseStep(now time.Time) uint64 {
	lead := c.leadTime()
	var step uint64
	for _, r := range c.ranks {
		per := max(time.Duration(r.status.StepMicros)*time.Microsecond, c.cfg.MinStep)
		since := min(now.Sub(r.heardAt), c.cfg.MaxLead)
		ahead := (lead+since)/per + 2
		step = max(step, r.status.NextStep+uint64(ahead))
	}
	return step
}
