package fake

import (
	"fmt"

	"github.com/snipereach/snipereach/rollout"
)

// Rank is the expert map state machine of one rank of a lock-step group. It does
// no I/O and specifies what an engine must do:
//
//   - A rank starts without a map: it runs no step until it adopts the map in force. It
//     rejects orders for another incarnation.
//   - The weights of a staged map are kept beside those in use until the map is
//     committed or aborted.
//   - An armed rank does not begin the armed step until it knows the decision,
//     and it rejects being armed for a step that it has begun.
//   - After a commit it uses the new map from the armed step on.
//   - All ranks agree on the number of each step before they begin it. A group
//     that forms again takes the highest next step of its ranks.
type Rank struct {
	incarnation uint64
	seq         uint64
	noMap       bool
	epoch       uint64
	nextStep    uint64
	loading     uint64
	staged      uint64
	armed       uint64
	armedStep   uint64
	decided     bool
	// highestDecided is the highest epoch that this incarnation adopted, committed
	// or aborted. It guards against late orders of an earlier switch.
	highestDecided uint64
	// StepMicros is the duration of a step in microseconds, as reported in Status.
	StepMicros uint64
}

// NewRank returns a rank without a map. Each restart of a rank needs a higher incarnation.
func NewRank(incarnation uint64) *Rank { return &Rank{incarnation: incarnation, noMap: true} }

// HandleOrder carries out an order and returns the resulting status, whose Refused field
// gives the reason if the order was rejected.
func (r *Rank) HandleOrder(verb string, o *rollout.Order) rollout.Status {
	refused := ""
	switch {
	case verb == rollout.VerbStatus:
	case o.Incarnation != r.incarnation:
		refused = fmt.Sprintf("order is for incarnation %d", o.Incarnation)
	case verb == rollout.VerbAdopt:
		r.adopt(o)
	case r.noMap:
		refused = "rank has no map"
	default:
		refused = r.dispatch(verb, o)
	}
	s := r.Status()
	s.Refused = refused
	return s
}

// Status returns the rank's state. Each call increments the sequence number.
func (r *Rank) Status() rollout.Status {
	r.seq++
	return rollout.Status{
		Incarnation: r.incarnation, Seq: r.seq, NoMap: r.noMap, Epoch: r.epoch, NextStep: r.nextStep,
		StepMicros: r.StepMicros, Loading: r.loading, Staged: r.staged, Armed: r.armed, ArmedStep: r.armedStep,
		Decided: r.decided,
	}
}

func (r *Rank) adopt(o *rollout.Order) {
	if !r.noMap {
		return
	}
	r.noMap = false
	r.epoch, r.highestDecided = o.Epoch, o.Epoch
	r.nextStep = max(r.nextStep, o.Step)
}

func (r *Rank) dispatch(verb string, o *rollout.Order) string {
	switch verb {
	case rollout.VerbStage:
		return r.stage(o)
	case rollout.VerbArm:
		return r.arm(o)
	case rollout.VerbCommit:
		return r.commit(o)
	case rollout.VerbAbort:
		return r.abort(o)
	}
	return "no such order"
}

func (r *Rank) stage(o *rollout.Order) string {
	switch {
	case o.Epoch <= r.highestDecided:
		return "the map was decided before"
	case o.Base != r.epoch || r.armed != 0 && r.armed != o.Epoch:
		return "the map is based on another one"
	case r.staged != o.Epoch:
		r.loading, r.staged = o.Epoch, 0
	}
	return ""
}

// FinishLoading marks the map that is being loaded as staged.
func (r *Rank) FinishLoading() {
	if r.loading != 0 {
		r.staged, r.loading = r.loading, 0
	}
}

// Loading returns the map whose weights are being loaded, or 0.
func (r *Rank) Loading() uint64 { return r.loading }

func (r *Rank) arm(o *rollout.Order) string {
	switch {
	case r.armed == o.Epoch && r.armedStep == o.Step:
	case o.Epoch <= r.highestDecided:
		return "the map was decided before"
	case r.staged != o.Epoch || r.armed != 0:
		return "the map isn't staged"
	case r.nextStep > o.Step:
		return "the step has begun"
	default:
		r.armed, r.armedStep = o.Epoch, o.Step
	}
	return ""
}

func (r *Rank) commit(o *rollout.Order) string {
	if r.epoch == o.Epoch {
		return ""
	}
	if r.armed != o.Epoch || r.armedStep != o.Step {
		return "the map isn't armed"
	}
	r.decided = true
	r.highestDecided = max(r.highestDecided, o.Epoch)
	return ""
}

func (r *Rank) abort(o *rollout.Order) string {
	if r.epoch == o.Epoch || r.decided && r.armed == o.Epoch {
		return "the map was committed"
	}
	r.highestDecided = max(r.highestDecided, o.Epoch)
	if r.loading == o.Epoch {
		r.loading = 0
	}
	if r.staged == o.Epoch {
		r.staged = 0
	}
	if r.armed == o.Epoch {
		r.armed, r.armedStep = 0, 0
	}
	return ""
}

// HasNoMap reports whether the rank has not yet adopted a map.
func (r *Rank) HasNoMap() bool { return r.noMap }

// NextStep returns the number of the step that the rank will begin.
func (r *Rank) NextStep() uint64 { return r.nextStep }

// CanBeginStep reports whether the rank may begin its next step.
func (r *Rank) CanBeginStep() bool {
	if r.noMap {
		return false
	}
	// Another rank may already know the decision and begin the step with the new
	// map; beginning it here with the old one would mix two maps in one step.
	// Waiting is enough, because no rank gets a commit before all are armed.
	return r.armed == 0 || r.decided || r.nextStep < r.armedStep
}

// BeginStep begins the agreed step and returns the epoch of the map used in it.
func (r *Rank) BeginStep(step uint64) uint64 {
	r.nextStep = step + 1
	if r.decided && step >= r.armedStep {
		r.epoch = r.armed
		r.armed, r.armedStep, r.staged, r.decided = 0, 0, 0, false
	}
	return r.epoch
}

// RaiseNextStep raises the rank's next step to the one that the group agreed on.
func (r *Rank) RaiseNextStep(step uint64) { r.nextStep = max(r.nextStep, step) }
