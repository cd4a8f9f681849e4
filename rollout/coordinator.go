package rollout

import (
	"time"

	"github.com/snipereach/snipereach/placement"
	"github.com/snipereach/snipereach/wire"
)

// Config configures a Coordinator.
type Config struct {
	Group string
	Shape placement.Shape
	// Token is the fencing token of the lease under which the coordinator leads.
	Token uint64
	// Resend is the interval at which orders and commands are sent again. Ranks are
	// polled at the same interval during a switch, so it also bounds the time until
	// a rank's restart is detected.
	Resend time.Duration
	// UrgentResend is the resend interval of orders that a stopped group may be waiting
	// for: arm, commit, abort and adopt.
	UrgentResend time.Duration
	// IdlePoll is the interval of status orders while no switch is in progress.
	IdlePoll time.Duration
	// StageTimeout and ArmTimeout bound the staging and arming phases. A switch
	// that exceeds them is cancelled.
	StageTimeout, ArmTimeout time.Duration
	// MinLeadTime and MaxLeadTime bound the planned time between arming and the first step of
	// the new map.
	MinLeadTime, MaxLeadTime time.Duration
	// MinStepTime is the lower bound applied to step times that ranks report.
	MinStepTime time.Duration
	// disabled lists the safeguards that are off; only tests set it.
	disabled safeguards
}

// safeguards names the safeguards that tests can disable to show that the fault
// schedules detect their absence.
type safeguards struct {
	// commitAfterLog: ranks are told to commit only once the decision is on the log.
	commitAfterLog bool
	// adoptAfterDecision: a restarted rank gets no map while a switch is undecided.
	adoptAfterDecision bool
}

// DefaultConfig returns settings for link latencies of a few milliseconds and steps of
// about five milliseconds.
func DefaultConfig(group string, s placement.Shape, token uint64) Config {
	return Config{
		Group: group, Shape: s, Token: token,
		Resend: 250 * time.Millisecond, UrgentResend: 50 * time.Millisecond, IdlePoll: 2 * time.Second,
		StageTimeout: 10 * time.Minute, ArmTimeout: 5 * time.Second,
		MinLeadTime: 50 * time.Millisecond, MaxLeadTime: 2 * time.Second, MinStepTime: time.Millisecond,
	}
}

// Target is a map to switch to, with the reason for the switch.
type Target struct {
	// BaseEpoch is the epoch of the map in force when this one was planned.
	BaseEpoch uint64
	Map       *wire.GroupMap
	Reason    *wire.MapReason
}

// RankOrder is an order with its recipient.
type RankOrder struct {
	Rank  int
	Verb  string
	Order Order
}

// Effects are the orders that a driver must send and the command that it must propose.
// Orders may be lost, duplicated and reordered; a command may be lost or delayed.
type Effects struct {
	Orders  []RankOrder
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

// Coordinator is the leader's side of one group's switches. It holds no state that the
// next leader depends on: it acts on the group's state on the log and on the status that
// the ranks report. It is not safe for concurrent use.
type Coordinator struct {
	cfg          Config
	state        *wire.GroupState
	ranks        []rankState
	requested    *Target
	cancelReason string
	// currentPhase is the phase of the switch in progress, entered at phaseStart.
	currentPhase struct {
		epoch uint64
		phase wire.SwitchPhase
	}
	phaseStart time.Time
	// firstProposedAt and lastProposedAt are the times at which the in-flight command
	// of type proposedType was proposed.
	firstProposedAt time.Time
	proposedType    string
	lastProposedAt  time.Time
	// commitLatency and orderLatency are decaying maxima of the time from a proposal to
	// the next state, and from an order to the rank's next status.
	commitLatency, orderLatency time.Duration
	// minLeadTime grows when ranks are armed too late, and shrinks towards Config.MinLeadTime
	// with committed switches. It last grew for the switch to lastLateEpoch.
	minLeadTime   time.Duration
	lastLateEpoch uint64
}

// NewCoordinator returns a coordinator that knows neither the group's state nor any
// rank's status.
func NewCoordinator(c Config) *Coordinator {
	return &Coordinator{cfg: c, ranks: make([]rankState, c.Shape.Ranks), minLeadTime: c.MinLeadTime}
}

// SetState sets the group's state on the log, which is nil if the group has none.
func (c *Coordinator) SetState(now time.Time, s *wire.GroupState) {
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
	if c.requested != nil && (sw != nil || c.requested.BaseEpoch != s.GetMap().GetEpoch()) {
		c.requested = nil
	}
	if !Undecided(sw) {
		c.cancelReason = ""
	}
	if sw.GetPhase() == wire.SwitchPhase_SWITCH_PHASE_COMMITTED {
		c.minLeadTime = max(c.cfg.MinLeadTime, c.minLeadTime/2)
	}
}

// HandleStatus records the status that a rank reported. Statuses older than the last one are
// ignored.
func (c *Coordinator) HandleStatus(now time.Time, rank int, s Status) {
	r := &c.ranks[rank]
	// A delayed status of an earlier incarnation could show a restarted rank as armed.
	if r.known && (s.Incarnation < r.status.Incarnation || s.Incarnation == r.status.Incarnation && s.Seq <= r.status.Seq) {
		return
	}
	if r.awaitingStatus {
		c.orderLatency = max(now.Sub(r.orderSentAt), c.orderLatency*7/8)
		r.awaitingStatus = false
	}
	r.known, r.status, r.statusAt = true, s, now
}

// RequestSwitch requests a switch, which begins once all ranks use the map in force. It does
// nothing if a switch is in progress or the target is based on another map.
func (c *Coordinator) RequestSwitch(t *Target) {
	if c.state == nil || c.state.Switch != nil || t.BaseEpoch != c.state.Map.Epoch {
		return
	}
	c.requested = t
}

// Idle reports whether no switch is in progress or requested.
func (c *Coordinator) Idle() bool {
	return c.state != nil && c.state.Switch == nil && c.requested == nil
}

// Converged reports whether the coordinator is idle and all ranks use the map in force.
func (c *Coordinator) Converged() bool {
	return c.Idle() && c.allUsing(c.state.Map.Epoch)
}

// CancelSwitch drops a requested switch, and aborts one in progress unless it is decided.
func (c *Coordinator) CancelSwitch(reason string) {
	c.requested = nil
	if c.state != nil && Undecided(c.state.Switch) {
		c.cancelReason = reason
	}
}

// Status returns a rank's last status, or false if none is known.
func (c *Coordinator) Status(rank int) (Status, bool) {
	return c.ranks[rank].status, c.ranks[rank].known
}

// Tick returns the effects that are due now.
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
		if !r.known || r.status.NoMap || !matches(r.status) {
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
