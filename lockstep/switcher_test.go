package lockstep

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// schedules is how many random schedules are played. Each is some thirty seconds of a
// group whose hosts stand still, whose orders are lost or carried out seconds later,
// whose leaders change and overlap, and which forms again.
const schedules = 10000

func play(seed uint64, off safeguards) *sim {
	s := newSim(seed, off)
	s.run(30 * time.Second)
	return s
}

// Callers would get tokens of experts that other ranks hold. Orders come late and
// doubled, two leaders overlap, hosts answer nothing for seconds: no pass begins with
// two maps, because the group is held until every rank is known to be armed or known
// to be clean.
func TestNoPassBeginsWithTwoMaps(t *testing.T) {
	finished := 0
	for seed := range uint64(schedules) {
		s := play(seed, safeguards{})
		assert.Equal(t, s.broken, "", "seed %d\n%s", seed, strings.Join(s.log, "\n"))
		finished += s.finished
	}
	assert.Assert(t, finished > schedules, "only %d switches came to their end", finished)
}

// Callers would wait for ever. Once faults end, a held group goes on and maps can be
// switched again, whatever was left: an order that is lost inside the leader, or a
// hold of an earlier leader, must not keep the group.
func TestGroupGoesOnAfterFaults(t *testing.T) {
	for seed := range uint64(schedules / 3) {
		s := play(seed, safeguards{})
		s.calm = true
		for _, r := range s.ranks {
			r.away = min(r.away, s.now+4*time.Second)
		}
		// The latest orders without an answer are carried out within twelve seconds.
		s.run(s.now + 20*time.Second)
		began, step := s.finished, s.step
		s.run(s.now + 5*time.Second)
		assert.Equal(t, s.broken, "", "seed %d", seed)
		assert.Assert(t, s.step > step+30, "seed %d: the group stands still\n%s\n%s", seed, strings.Join(s.log, "\n"), s.state())
		assert.Assert(t, s.finished > began, "seed %d: no switch comes to its end\n%s", seed, strings.Join(s.log, "\n"))
	}
}

// The schedules are hard enough: without either safeguard a pass begins with two maps.
func TestSchedulesCatchMissingSafeguards(t *testing.T) {
	for name, off := range map[string]safeguards{"settle": {settle: true}, "hold": {hold: true}} {
		caught := 0
		for seed := range uint64(schedules / 3) {
			if play(seed, off).broken != "" {
				caught++
			}
		}
		assert.Assert(t, caught > 0, "nothing notices that %s is off", name)
		t.Logf("%s: caught in %d of %d schedules", name, caught, schedules/3)
	}
}
