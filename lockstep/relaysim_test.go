package lockstep

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

// simRelayRanks is how many ranks share a relay in the simulation.
const simRelayRanks = 2

// sendThroughRelays sends the orders of one tick through relays.
func (s *sim) sendThroughRelays(l *simLeader, orders []Order) {
	parts := map[int][]Order{}
	for _, o := range orders {
		parts[o.Rank/simRelayRanks] = append(parts[o.Rank/simRelayRanks], o)
	}
	for part := range len(s.ranks) / simRelayRanks {
		switch list := parts[part]; len(list) {
		case 0:
		case 1:
			s.send(l, list[0])
		default:
			s.sendViaRelay(l, list)
		}
	}
}

// relayIsDown reports whether a rank is reached through a relay whose host doesn't respond.
func (s *sim) relayIsDown(i int) bool {
	return s.hostRelays && s.now < s.ranks[i-i%simRelayRanks].unresponsiveUntil
}

// sendViaRelay sends orders through one relay. It may work, fail after passing on some orders,
// pass them on seconds later without an answer, or pass each of them on twice.
func (s *sim) sendViaRelay(l *simLeader, list []Order) {
	draw := s.rnd.Float64()
	if s.noFaults {
		draw = 0
	}
	switch {
	case s.relayIsDown(list[0].Rank):
	case draw < 0.6:
		s.passOn(l, list)
		return
	case draw < 0.75:
		for _, o := range list[:s.rnd.IntN(len(list)+1)] {
			s.deliver(o, func(*wire.RankOrderReply) {})
		}
	case draw < 0.9:
		s.after(s.ms(500, 6000), func() {
			for _, o := range list {
				s.deliver(o, func(*wire.RankOrderReply) {})
			}
		})
	default:
		for _, o := range list {
			s.after(s.ms(0, 3000), func() { s.deliver(o, func(*wire.RankOrderReply) {}) })
		}
		s.passOn(l, list)
		return
	}
	s.after(250*time.Millisecond, func() {
		for _, o := range list {
			l.switcher.HandleReply(s.time(), o.Rank, o.RankOrder, nil)
		}
	})
}

// passOn passes orders on and answers once all ranks have replied, or after 120 ms with the
// replies so far.
func (s *sim) passOn(l *simLeader, list []Order) {
	replies := make([]*wire.RankOrderReply, len(list))
	cameAt := make([]time.Duration, len(list))
	missing, done := len(list), false
	finish := func() {
		if done {
			return
		}
		done = true
		for n, r := range replies {
			if r != nil && !s.omitAge {
				r.After.AgeMs = uint32((s.now-cameAt[n])/time.Millisecond) + 1
			}
		}
		s.after(s.ms(1, 8), func() {
			for n, o := range list {
				l.switcher.HandleReply(s.time(), o.Rank, o.RankOrder, replies[n])
			}
		})
	}
	for n, o := range list {
		s.deliver(o, func(reply *wire.RankOrderReply) {
			if done {
				return
			}
			replies[n], cameAt[n] = reply, s.now
			if missing--; missing == 0 {
				finish()
			}
		})
	}
	s.after(120*time.Millisecond, finish)
}

func runRelayedSim(seed uint64, disabled safeguards) *sim {
	s := newSim(seed, disabled)
	s.relays = true
	s.run(30 * time.Second)
	return s
}

// Checks the invariant of Switcher while relays fail during a round of orders, delay orders and
// duplicate them, and that switches still succeed.
func TestNoPassBeginsWithTwoMapsThroughRelays(t *testing.T) {
	finished := 0
	for seed := range uint64(schedules) {
		s := runRelayedSim(seed, safeguards{})
		assert.Equal(t, s.violation, "", "seed %d\n%s", seed, strings.Join(s.log, "\n"))
		finished += s.finished
	}
	assert.Assert(t, finished > schedules/2, "only %d switches succeeded", finished)
}

func TestGroupRecoversAfterRelayFaults(t *testing.T) {
	for seed := range uint64(schedules / 10) {
		s := runRelayedSim(seed, safeguards{})
		s.noFaults = true
		for _, r := range s.ranks {
			r.unresponsiveUntil = min(r.unresponsiveUntil, s.now+4*time.Second)
		}
		s.run(s.now + 25*time.Second)
		finishedBefore, step := s.finished, s.step
		s.run(s.now + 5*time.Second)
		assert.Equal(t, s.violation, "", "seed %d", seed)
		assert.Assert(t, s.step > step+30, "seed %d: no passes are run\n%s", seed, s.state())
		assert.Assert(t, s.finished > finishedBefore, "seed %d: no switch succeeds\n%s", seed, strings.Join(s.log, "\n"))
	}
}

// The simulation must detect each disabled safeguard, otherwise it is too easy.
func TestRelayedSimDetectsDisabledSafeguards(t *testing.T) {
	for name, disabled := range map[string]safeguards{"voidArmOrders": {voidArmOrders: true}, "holdBeforeArm": {holdBeforeArm: true}} {
		detected := 0
		for seed := range uint64(schedules / 3) {
			if runRelayedSim(seed, disabled).violation != "" {
				detected++
			}
		}
		assert.Assert(t, detected > 0, "disabled safeguard %s is not detected", name)
		t.Logf("%s: detected in %d of %d schedules", name, detected, schedules/3)
	}
}
