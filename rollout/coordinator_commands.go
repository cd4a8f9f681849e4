package rollout

import (
	"fmt"
	"time"

	"github.com/snipereach/snipereach/placement"
	"github.com/snipereach/snipereach/wire"
)

// leadMargin covers orders and syncs slower than those measured.
const leadMargin = 2

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
