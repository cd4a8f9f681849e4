package rollout_test

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/internal/schedule"
	"github.com/snipereach/snipereach/rollout"
)

const scheduleCount = 10_000

// runSchedules plays seeds until one fails; it returns that seed and what went
// wrong, and sums of what the schedules did.
func runSchedules(n int, disabled disabledSafeguards) (seed uint64, failure string, switches, restarts, steps, resolved int64) {
	var mu sync.Mutex
	seed, failure = schedule.Search(uint64(n), func(i uint64) string {
		s := newSim(i, disabled)
		result := s.run()
		mu.Lock()
		defer mu.Unlock()
		switches += int64(len(s.committedSwitches))
		restarts += int64(s.restarts)
		steps += int64(s.executedSteps)
		resolved += int64(s.agentResolutions)
		return result
	})
	return seed, failure, switches, restarts, steps, resolved
}

// Callers see answers made by one set of weights. Ranks stall, restart and are
// cut off, agents forget their tokens, leaders die in every phase, two of them
// lead at once, and orders and commands come late, twice or never. In every step
// that a rank begins, all ranks that begin it use one map; once the faults end,
// steps run and a new map comes into force within simBound.
func TestFaultSchedulesUseOneMapPerStep(t *testing.T) {
	seed, failure, switches, restarts, steps, resolved := runSchedules(scheduleCount, disabledSafeguards{})
	assert.Equal(t, failure, "", "seed %d", seed)
	t.Logf("%d schedules: %d steps, %d switches, %d ranks restarted, %d decisions told by agents", scheduleCount, steps, switches, restarts, resolved)
	assert.Assert(t, switches > scheduleCount && restarts > scheduleCount && steps > 100*scheduleCount && resolved > scheduleCount)
}

// Each safeguard is needed: without it the same schedules find a step with two
// maps, or a group that stands still.
func TestFaultSchedulesDetectDisabledSafeguards(t *testing.T) {
	for name, disabled := range map[string]disabledSafeguards{
		"an armed rank doesn't stop":                   {armedWait: true},
		"a rank restarts on its own map":               {adoptOnRestart: true},
		"the decision is told before it is on the log": {coordinator: rollout.DecideWithoutLog},
		"a restarted rank gets a map while in doubt":   {coordinator: rollout.AdoptUndecided},
		"agents don't ask for a decision":              {agentResolve: true},
	} {
		disabled.progressCheck = !disabled.agentResolve
		seed, failure, _, _, _, _ := runSchedules(scheduleCount, disabled)
		t.Logf("%s: seed %d: %s", name, seed, failure)
		assert.Assert(t, failure != "", name)
	}
}
