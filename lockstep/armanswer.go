package lockstep

import (
	"time"

	"github.com/snipereach/snipereach/wire"
)

// armAnswer is a rank's own answer that it is armed.
//
// A report of a rank that is called without its sidecar is late by the report lag of the engine,
// and the group would be held for that long until the report shows that the rank is armed. The
// answer DONE shows it at once. It says as much as a report of the moment when the rank carried
// out the order, which was after the order was sent:
//
//   - It answers the only order that awaits a reply; later and second answers are ignored. An
//     earlier order for the same version has the same step, because a version is armed for one
//     step only. The rank has checked its instance and the epoch, and a rank that has restarted
//     hasn't prepared the version.
//   - This leader disarms the version only when it has given the switch up, and never releases
//     the group for it after that. A late order to disarm names another version. Copies of the
//     order to arm that are carried out later are voided as before.
//   - A leader with a higher token disarms ranks only while a rank that it has fenced holds the
//     group. That rank rejects this leader's order to go on.
//   - If a rank restarts after its answer, the group forms again under another epoch, in which no
//     rank is armed and the order to go on is rejected.
//
// The answer lacks the rest of the report, such as a hold that was ordered in an earlier attempt.
// So it doesn't end the switch: that takes a report that isn't older than the order.
type armAnswer struct {
	// version is the version for which the rank is armed, 0 if there is no answer.
	version uint64
	// orderedAt is the time at which the order was sent.
	orderedAt time.Time
}

// handleArmAnswer takes the status that a rank has returned to an order.
func (r *rank) handleArmAnswer(o *wire.RankOrder, status wire.RankOrderStatus) {
	if o.Kind == wire.RankOrderKind_RANK_ORDER_KIND_ARM && status == wire.RankOrderStatus_RANK_ORDER_STATUS_DONE {
		r.armAnswer = armAnswer{version: o.Version, orderedAt: r.pendingSince}
	}
}

// isArmed reports whether the rank is known to be armed for a version, by its newest report or,
// if that is older than the order, by its answer.
func (r *rank) isArmed(version uint64) bool {
	return r.report.Armed == version || r.isArmedByAnswer(version)
}

// isArmedByAnswer reports whether the rank has answered that it is armed for a version, and its
// newest report was read before that order was sent. A newer report overrides the answer, as the
// rank may have been disarmed since.
func (r *rank) isArmedByAnswer(version uint64) bool {
	return r.armAnswer.version == version && r.reportAt.Before(r.armAnswer.orderedAt)
}

// awaitsReportOfArmed reports whether a rank is known to be armed for the switch by its answer
// only.
func (s *Switcher) awaitsReportOfArmed() bool {
	if s.cfg.disabled.reportBeforeEnd {
		return false
	}
	for i := range s.ranks {
		if s.ranks[i].isArmedByAnswer(s.version) {
			return true
		}
	}
	return false
}
