package rollout_test

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/internal/schedule"
	"github.com/snipereach/snipereach/rollout"
)

const scheduleCount = 10_000

// runSchedules runs the seeds 1 to n until one fails. It returns that seed and its
// failure, and the totals of switches, restarts, steps and decisions told by agents.
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

// Ranks stall, restart and are partitioned, agents lose their tokens, leaders crash or
// lead concurrently, and orders and commands are delayed, duplicated or lost. All ranks
// must use the same map in each step, and after the faults steps must run and a new map
// must come into force within simProgressBound.
func TestFaultSchedulesUseOneMapPerStep(t *testing.T) {
	seed, failure, switches, restarts, steps, resolved := runSchedules(scheduleCount, disabledSafeguards{})
	assert.Equal(t, failure, "", "seed %d", seed)
	t.Logf("%d schedules: %d steps, %d switches, %d ranks restarted, %d decisions told by agents", scheduleCount, steps, switches, restarts, resolved)
	assert.Assert(t, switches > scheduleCount && restarts > scheduleCount && steps > 100*scheduleCount && resolved > scheduleCount)
}

// With any one safeguard disabled, the same schedules must find a step with two maps or a
// group that makes no progress; otherwise they would not test that safeguard.
func TestFaultSchedulesDetectDisabledSafeguards(t *testing.T) {
	for name, disabled := range map[string]disabledSafeguards{
		"an armed rank does not stop before its step":                {armedWait: true},
		"a restarted rank keeps its last map":                        {adoptOnRestart: true},
		"ranks are told to commit before the decision is on the log": {coordinator: rollout.DecideWithoutLog},
		"a restarted rank gets a map while a switch is undecided":    {coordinator: rollout.AdoptUndecided},
		"agents do not ask for a decision":                           {agentResolve: true},
	} {
		// Only the schedules without agentResolve may fail for lack of progress.
		disabled.progressCheck = !disabled.agentResolve
		seed, failure, _, _, _, _ := runSchedules(scheduleCount, disabled)
		t.Logf("%s: seed %d: %s", name, seed, failure)
		assert.Assert(t, failure != "", name)
	}
}
