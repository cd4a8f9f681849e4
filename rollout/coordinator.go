package rollout

import (
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
	disabled safeguards
}

// safeguards names what tests turn off to show that the suite would catch its
// absence.
type safeguards struct {
	// log tells the ranks to switch before the decision is on the log.
	commitAfterLog bool
	// blank gives the old map to a restarted rank while a switch is undecided.
	adoptAfterDecision bool
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
	known          bool
	status         Status
	statusAt       time.Time
	lastVerb       string
	lastEpoch      uint64
	orderSentAt    time.Time
	awaitingStatus bool
}

// Coordinator is the leader's side of one group's switches. It keeps nothing
// that the next leader would miss: what it does follows from the state on the
// log and the ranks' own words. It is not safe for use by several goroutines.
type Coordinator struct {
	cfg          Config
	state        *wire.GroupState
	ranks        []rankState
	requested    *Target
	cancelReason string
	// phase and since time the phase of the switch in progress.
	currentPhase struct {
		epoch uint64
		phase wire.SwitchPhase
	}
	phaseStart time.Time
	// proposed is when the command in flight was first proposed.
	firstProposedAt time.Time
	proposedType    string
	lastProposedAt  time.Time
	// logTime and orderTime are the slowest of late, decaying.
	commitLatency, orderLatency time.Duration
	// lead grows when ranks were armed too late, last for the switch to lateEpoch.
	minLeadTime   time.Duration
	lastLateEpoch uint64
}

// NewCoordinator makes a coordinator that has heard of nothing.
func NewCoordinator(c Config) *Coordinator {
	return &Coordinator{cfg: c, ranks: make([]rankState, c.Shape.Ranks), minLeadTime: c.Lead}
}

// Applied takes the group's state on the log; nil if there is none.
func (c *Coordinator) Applied(now time.Time, s *wire.GroupState) {
	if c.state == s {
		return
	}
	if c.proposedType != "" {
		c.commitLatency = max(now.Sub(c.firstProposedAt), c.commitLatency*7/8)
		c.proposedType = ""
	}
	c.state = s
	sw := s.GetSwitch()
	if sw.GetMap().GetEpoch() != c.currentPhase.epoch || sw.GetPhase() != c.currentPhase.phase {
		c.currentPhase.epoch, c.currentPhase.phase = sw.GetMap().GetEpoch(), sw.GetPhase()
		c.phaseStart = now
	}
	if c.requested != nil && (sw != nil || c.requested.Base != s.GetMap().GetEpoch()) {
		c.requested = nil
	}
	if !Undecided(sw) {
		c.cancelReason = ""
	}
	if sw.GetPhase() == wire.SwitchPhase_SWITCH_PHASE_COMMITTED {
		c.minLeadTime = max(c.cfg.Lead, c.minLeadTime/2)
	}
}

// Heard takes a rank's answer.
func (c *Coordinator) Heard(now time.Time, rank int, s Status) {
	r := &c.ranks[rank]
	// A late answer of an earlier life would show a dead rank as armed.
	if r.known && (s.Incarnation < r.status.Incarnation || s.Incarnation == r.status.Incarnation && s.Seq <= r.status.Seq) {
		return
	}
	if r.awaitingStatus {
		c.orderLatency = max(now.Sub(r.orderSentAt), c.orderLatency*7/8)
		r.awaitingStatus = false
	}
	r.known, r.status, r.statusAt = true, s, now
}

// Roll asks for a switch. It begins once the ranks use the map in force.
func (c *Coordinator) Roll(t *Target) {
	if c.state == nil || c.state.Switch != nil || t.Base != c.state.Map.Epoch {
		return
	}
	c.requested = t
}

// Idle says whether no switch is in progress or asked for.
func (c *Coordinator) Idle() bool {
	return c.state != nil && c.state.Switch == nil && c.requested == nil
}

// Quiet says whether all ranks use the map in force and nothing is to be done.
func (c *Coordinator) Quiet() bool {
	return c.Idle() && c.allUsing(c.state.Map.Epoch)
}

// Cancel ends a switch that is not decided yet.
func (c *Coordinator) Cancel(reason string) {
	c.requested = nil
	if c.state != nil && Undecided(c.state.Switch) {
		c.cancelReason = reason
	}
}

// Status returns what a rank said last.
func (c *Coordinator) Status(rank int) (Status, bool) {
	return c.ranks[rank].status, c.ranks[rank].known
}

// Tick returns what is to be done now.
func (c *Coordinator) Tick(now time.Time) Effects {
	var e Effects
	for i := range c.ranks {
		if o, ok := c.nextOrder(now, i); ok {
			e.Orders = append(e.Orders, o)
		}
	}
	e.Command = c.nextCommand(now)
	return e
}

func (c *Coordinator) allRanks(matches func(s Status) bool) bool {
	for _, r := range c.ranks {
		if !r.known || r.status.Blank || !matches(r.status) {
			return false
		}
	}
	return true
}

func (c *Coordinator) allUsing(epoch uint64) bool {
	return c.allRanks(func(s Status) bool { return s.Epoch == epoch && s.Armed == 0 })
}

func (c *Coordinator) allStaged(epoch uint64) bool {
	return c.allRanks(func(s Status) bool { return s.Staged == epoch })
}

func (c *Coordinator) allArmed() bool {
	sw := c.state.Switch
	return c.allRanks(func(s Status) bool { return s.Armed == sw.Map.Epoch && s.ArmedStep == sw.Step })
}
