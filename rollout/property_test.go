package rollout_test

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/internal/schedule"
	"github.com/snipereach/snipereach/rollout"
)

const schedules = 10_000

// runSchedules plays seeds until one fails; it returns that seed and what went
// wrong, and sums of what the schedules did.
func runSchedules(n int, off simSwitches) (seed uint64, failure string, switches, restarts, steps, resolved int64) {
	var mu sync.Mutex
	seed, failure = schedule.Search(uint64(n), func(i uint64) string {
		s := newSim(i, off)
		bad := s.run()
		mu.Lock()
		defer mu.Unlock()
		switches += int64(len(s.switches))
		restarts += int64(s.restarts)
		steps += int64(s.executed)
		resolved += int64(s.resolved)
		return bad
	})
	return seed, failure, switches, restarts, steps, resolved
}

// Callers see answers made by one set of weights. Ranks stall, restart and are
// cut off, agents forget their tokens, leaders die in every phase, two of them
// lead at once, and orders and commands come late, twice or never. In every step
// that a rank begins, all ranks that begin it use one map; once the faults end,
// steps run and a new map comes into force within simBound.
func TestSchedulesOneMapInEveryStep(t *testing.T) {
	seed, failure, switches, restarts, steps, resolved := runSchedules(schedules, simSwitches{})
	assert.Equal(t, failure, "", "seed %d", seed)
	t.Logf("%d schedules: %d steps, %d switches, %d ranks restarted, %d decisions told by agents", schedules, steps, switches, restarts, resolved)
	assert.Assert(t, switches > schedules && restarts > schedules && steps > 100*schedules && resolved > schedules)
}

// Each safeguard is needed: without it the same schedules find a step with two
// maps, or a group that stands still.
func TestSchedulesFailWithoutASafeguard(t *testing.T) {
	for name, off := range map[string]simSwitches{
		"an armed rank doesn't stop":                   {armed: true},
		"a rank restarts on its own map":               {ownMap: true},
		"the decision is told before it is on the log": {coordinator: rollout.DecideWithoutLog},
		"a restarted rank gets a map while in doubt":   {coordinator: rollout.AdoptUndecided},
		"agents don't ask for a decision":              {alone: true},
	} {
		off.safety = !off.alone
		seed, failure, _, _, _, _ := runSchedules(schedules, off)
		t.Logf("%s: seed %d: %s", name, seed, failure)
		assert.Assert(t, failure != "", name)
	}
}
