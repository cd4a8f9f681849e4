package gateway

import (
	"time"

	"github.com/snipereach/snipereach/overload"
)

// headroomEstimate learns from the passes of a group how far less urgent requests may fill it.
type headroomEstimate struct {
	passes overload.Headroom
	// longestPass is the longest pass since the last survey, and longestPassFill the largest fill
	// estimated since then.
	longestPass     time.Duration
	longestPassFill float64
	// targetGap and fixedPass are the target gap of the last pass, and the part of a pass that
	// doesn't depend on the running requests.
	targetGap, fixedPass time.Duration
}

// observePass records a pass until the next survey.
func (h *headroomEstimate) observePass(pass, targetGap, fixed time.Duration, fill float64) {
	h.longestPass, h.longestPassFill = max(h.longestPass, pass), max(h.longestPassFill, fill)
	h.targetGap, h.fixedPass = targetGap, fixed
}

// applySurvey takes the longest pass since the last survey into account. A survey is some 100 ms
// old, so while the group fills up the pass belongs to the fill that the next survey shows; with
// an earlier one it would seem to grow faster with the fill than it does.
func (h *headroomEstimate) applySurvey(now time.Time, occupancy float64) {
	if h.longestPass > 0 {
		h.passes.Observe(now, h.longestPass, h.targetGap, h.fixedPass, max(h.longestPassFill, occupancy))
	}
	h.longestPass, h.longestPassFill = 0, 0
}

// fill returns the largest fraction of the slots at which passes stay within the target gap after
// the next shift of expert demand.
func (h *headroomEstimate) fill(now time.Time) float64 {
	return h.passes.Fill(now, h.targetGap, h.fixedPass)
}
