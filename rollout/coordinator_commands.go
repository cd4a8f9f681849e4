package rollout

import (
	"fmt"
	"time"

	"github.com/snipereach/snipereach/placement"
	"github.com/snipereach/snipereach/wire"
)

// leadMargin is the safety factor applied to recent latencies.
const leadMargin = 2

// nextCommand returns the command to propose now, or nil. A command of the same type is
// proposed again only after the resend interval.
func (c *Coordinator) nextCommand(now time.Time) *wire.GroupCommand {
	cmd := c.neededCommand(now)
	if cmd == nil {
		return nil
	}
	commandType := fmt.Sprintf("%T", cmd.Command)
	if commandType != c.proposedType {
		c.firstProposedAt = now
	} else if now.Sub(c.lastProposedAt) < c.cfg.Resend {
		return nil
	}
	c.proposedType, c.lastProposedAt = commandType, now
	cmd.Group, cmd.Token = c.cfg.Group, c.cfg.Token
	return cmd
}

func (c *Coordinator) neededCommand(now time.Time) *wire.GroupCommand {
	if c.state == nil {
		initial := FromPlacementMap(c.cfg.Shape, placement.Contiguous(c.cfg.Shape))
		return &wire.GroupCommand{Command: &wire.GroupCommand_Install{Install: initial}}
	}
	sw := c.state.Switch
	if sw == nil {
		return c.beginRequested()
	}
	epoch := sw.Map.Epoch
	if sw.Phase == wire.SwitchPhase_SWITCH_PHASE_COMMITTED {
		if c.allUsing(epoch) {
			return &wire.GroupCommand{Command: &wire.GroupCommand_Confirm{Confirm: &wire.ConfirmSwitch{Epoch: epoch}}}
		}
		return nil
	}
	if reason := c.abortReason(now, sw); reason != "" {
		return decideCommand(epoch, false, reason)
	}
	switch {
	case sw.Phase == wire.SwitchPhase_SWITCH_PHASE_ARMING && c.allArmed():
		return decideCommand(epoch, true, "")
	case sw.Phase == wire.SwitchPhase_SWITCH_PHASE_STAGING && c.allStaged(epoch):
		return &wire.GroupCommand{Command: &wire.GroupCommand_Arm{Arm: &wire.ArmSwitch{Epoch: epoch, Step: c.chooseStep(now)}}}
	}
	return nil
}

func decideCommand(epoch uint64, commit bool, detail string) *wire.GroupCommand {
	return &wire.GroupCommand{Command: &wire.GroupCommand_Decide{
		Decide: &wire.DecideSwitch{Epoch: epoch, Commit: commit, Detail: detail},
	}}
}

func (c *Coordinator) beginRequested() *wire.GroupCommand {
	if c.requested == nil || !c.allUsing(c.state.Map.Epoch) {
		return nil
	}
	return &wire.GroupCommand{Command: &wire.GroupCommand_Begin{
		Begin: &wire.BeginSwitch{Base: c.requested.BaseEpoch, Map: c.requested.Map, Reason: c.requested.Reason},
	}}
}

// abortReason returns the reason to cancel an undecided switch, or "".
func (c *Coordinator) abortReason(now time.Time, sw *wire.Switch) string {
	if c.cancelReason != "" {
		return c.cancelReason
	}
	arming := sw.Phase == wire.SwitchPhase_SWITCH_PHASE_ARMING
	for i, r := range c.ranks {
		s := r.status
		switch {
		case !r.known:
		case s.NoMap || arming && s.Staged != sw.Map.Epoch && s.Armed != sw.Map.Epoch:
			return fmt.Sprintf("rank %d restarted", i)
		case arming && s.Armed != sw.Map.Epoch && s.NextStep > sw.Step:
			c.recordLateArm(sw.Map.Epoch)
			return fmt.Sprintf("rank %d was armed too late", i)
		}
	}
	timeout := c.cfg.StageTimeout
	if arming {
		timeout = c.cfg.ArmTimeout
	}
	if now.Sub(c.phaseStart) >= timeout {
		return fmt.Sprintf("ranks were not ready within %v", timeout)
	}
	return ""
}

// recordLateArm doubles the lead time, once for each switch that was armed too late.
func (c *Coordinator) recordLateArm(epoch uint64) {
	if c.lastLateEpoch != epoch {
		c.lastLateEpoch = epoch
		c.minLeadTime = 2 * c.leadTime()
	}
}

// leadTime returns the expected time to arm the ranks, decide, and tell the decision: two
// log writes and two rounds of orders at recent latencies, times leadMargin, within
// minLeadTime and MaxLeadTime.
func (c *Coordinator) leadTime() time.Duration {
	return min(max(c.minLeadTime, leadMargin*(2*c.commitLatency+2*c.orderLatency)), c.cfg.MaxLeadTime)
}

// chooseStep returns the first step of the new map. It is far enough ahead that normally
// every rank knows the decision before it would have to stop.
func (c *Coordinator) chooseStep(now time.Time) uint64 {
	lead := c.leadTime()
	var step uint64
	for _, r := range c.ranks {
		stepTime := max(time.Duration(r.status.StepMicros)*time.Microsecond, c.cfg.MinStepTime)
		statusAge := min(now.Sub(r.statusAt), c.cfg.MaxLeadTime)
		stepsAhead := (lead+statusAge)/stepTime + 2
		step = max(step, r.status.NextStep+uint64(stepsAhead))
	}
	return step
}
