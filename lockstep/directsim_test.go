package lockstep

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

const (
	// simReportLag is the time by which a report that a rank gives to another host is late at
	// most, and simReportAge the age that a leader takes it to have.
	simReportLag = 200 * time.Millisecond
	simReportAge = 2 * simReportLag
	// simSidecarRetry is how long a leader calls a rank without its sidecar after a connection
	// to the sidecar was refused.
	simSidecarRetry = 250 * time.Millisecond
)

// timedReport is the report of a rank at a time.
type timedReport struct {
	at     time.Duration
	report *wire.RankReport
}

// recordReports records the ranks' reports of this moment, if leaders may read ranks without
// their sidecars.
func (s *sim) recordReports() {
	for i, r := range s.ranks {
		if !s.sidecarFaults && r.sidecarDownUntil == 0 {
			continue
		}
		_, rep := s.report(i)
		r.recent = append(r.recent, timedReport{s.now, rep})
		r.recent = slices.DeleteFunc(r.recent, func(p timedReport) bool { return s.now-p.at > simReportLag })
	}
}

// publishedReport returns a report of a rank as another host reads it.
func (s *sim) publishedReport(i int) *wire.RankReport {
	_, rep := s.report(i)
	for _, recent := range s.ranks[i].recent {
		if !s.periodicReports || recent.at >= s.now.Truncate(simReportLag) {
			rep = recent.report
			break
		}
	}
	return &wire.RankReport{
		Step: rep.Step, Map: rep.Map, Prepared: rep.Prepared, Armed: rep.Armed, ArmedStep: rep.ArmedStep, Held: rep.Held,
		AgeMs: uint32(simReportAge / time.Millisecond),
	}
}

// callsDirectly reports whether a leader calls a rank without its sidecar now.
func (s *sim) callsDirectly(l *simLeader, i int) bool { return s.now < l.directUntil[i] }

// refused reports whether the sidecar of a rank refuses connections. The leader then calls the
// rank directly for a while.
func (s *sim) refused(l *simLeader, i int) bool {
	if s.now >= s.ranks[i].sidecarDownUntil {
		return false
	}
	l.directUntil[i] = s.now + simSidecarRetry
	return true
}

// readDirectly reads a rank's state for a leader without the rank's sidecar.
func (s *sim) readDirectly(l *simLeader, i int) {
	at, instance, rep := s.time(), s.ranks[i].instance, s.publishedReport(i)
	s.after(s.ms(1, 20), func() { l.switcher.HandleReport(at, i, instance, rep) })
}

// stopSidecars stops sidecars of random ranks for a while.
func (s *sim) stopSidecars() {
	for _, r := range s.ranks {
		if s.rnd.Float64() < 0.01 {
			r.sidecarDownUntil = s.now + s.ms(100, 3000)
			s.logf("sidecar of %s is down until %v", r.instance, r.sidecarDownUntil)
		}
	}
}

// checkBase checks that a leader that has switched the group knows the map that the ranks
// are using when it begins the next switch. It sends the next map as changes to that map.
func (s *sim) checkBase(l *simLeader) {
	version := l.switcher.ranks[0].report.Map
	if m := s.maps[version]; l.switched && l.epoch == s.epoch && m != nil && !reflect.DeepEqual(m, l.switcher.Current()) {
		s.violation = fmt.Sprintf("the leader takes version %d for another map", version)
	}
}

func runSidecarFaultSim(seed uint64, disabled safeguards) *sim {
	s := newSim(seed, disabled)
	s.sidecarFaults, s.periodicReports = true, seed%2 == 0
	s.run(30 * time.Second)
	return s
}

// Checks the invariant of Switcher while ranks are called without their sidecars. Their reports
// then are late, and an answered order is the only recent information on them.
func TestNoPassBeginsWithTwoMapsWithoutSidecars(t *testing.T) {
	finished := 0
	for seed := range uint64(schedules) {
		s := runSidecarFaultSim(seed, safeguards{})
		assert.Equal(t, s.violation, "", "seed %d\n%s", seed, strings.Join(s.log, "\n"))
		finished += s.finished
	}
	assert.Assert(t, finished > schedules, "only %d switches succeeded", finished)
}

// A switch whose ranks are known to be armed by their answers only must end, and further switches
// succeed, once the ranks are read again.
func TestGroupRecoversAfterSidecarFaults(t *testing.T) {
	for seed := range uint64(schedules / 10) {
		s := runSidecarFaultSim(seed, safeguards{})
		s.noFaults = true
		for _, r := range s.ranks {
			r.unresponsiveUntil = min(r.unresponsiveUntil, s.now+4*time.Second)
		}
		s.run(s.now + 20*time.Second)
		finishedBefore, step := s.finished, s.step
		s.run(s.now + 5*time.Second)
		assert.Equal(t, s.violation, "", "seed %d", seed)
		assert.Assert(t, s.step > step+30, "seed %d: no passes are run\n%s\n%s", seed, strings.Join(s.log, "\n"), s.state())
		assert.Assert(t, s.finished > finishedBefore, "seed %d: no switch succeeds\n%s", seed, strings.Join(s.log, "\n"))
	}
}

// The simulation must detect each disabled safeguard, otherwise it is too easy.
func TestSidecarFaultSimDetectsDisabledSafeguards(t *testing.T) {
	for name, disabled := range map[string]safeguards{"voidArmOrders": {voidArmOrders: true}, "holdBeforeArm": {holdBeforeArm: true}, "reportBeforeEnd": {reportBeforeEnd: true}} {
		detected := 0
		for seed := range uint64(schedules / 10) {
			if runSidecarFaultSim(seed, disabled).violation != "" {
				detected++
			}
		}
		assert.Assert(t, detected > 0, "disabled safeguard %s is not detected", name)
		t.Logf("%s: detected in %d of %d schedules", name, detected, schedules/10)
	}
}
