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

// sendThroughRelays gives the orders of one look through relays. Each may do its work, be
// lost after it has passed on some orders, stand still and pass them on seconds later, or
// pass on each of them twice.
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
			s.relay(l, list)
		}
	}
}

func (s *sim) relay(l *simLeader, list []Order) {
	draw := s.rnd.Float64()
	if s.calm {
		draw = 0
	}
	switch {
	case draw < 0.6:
		s.relayAll(l, list)
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
		s.relayAll(l, list)
		return
	}
	s.after(250*time.Millisecond, func() {
		for _, o := range list {
			l.switcher.Replied(s.time(), o.Rank, o.RankOrder, nil)
		}
	})
}

// relayAll passes orders on and answers once all ranks have, or after 0.12 s with what there is.
func (s *sim) relayAll(l *simLeader, list []Order) {
	replies := make([]*wire.RankOrderReply, len(list))
	cameAt := make([]time.Duration, len(list))
	missing, done := len(list), false
	finish := func() {
		if done {
			return
		}
		done = true
		for n, r := range replies {
			if r != nil && !s.unageing {
				r.After.AgeMs = uint32((s.now-cameAt[n])/time.Millisecond) + 1
			}
		}
		s.after(s.ms(1, 8), func() {
			for n, o := range list {
				l.switcher.Replied(s.time(), o.Rank, o.RankOrder, replies[n])
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

func playRelayed(seed uint64, off safeguards) *sim {
	s := newSim(seed, off)
	s.relays = true
	s.run(30 * time.Second)
	return s
}

// Callers would get tokens of experts that other ranks hold. Relays are lost in the middle of
// a round, stand still and pass orders on seconds later, and double them, while hosts answer
// nothing, leaders overlap and the group forms again: no pass begins with two maps, switches
// come to their end, and once faults end the group goes on.
func TestNoPassBeginsWithTwoMapsThroughRelays(t *testing.T) {
	finished := 0
	for seed := range uint64(schedules) {
		s := playRelayed(seed, safeguards{})
		assert.Equal(t, s.broken, "", "seed %d\n%s", seed, strings.Join(s.log, "\n"))
		finished += s.finished
	}
	assert.Assert(t, finished > schedules/2, "only %d switches came to their end", finished)
}

func TestGroupGoesOnAfterFaultsOfRelays(t *testing.T) {
	for seed := range uint64(schedules / 10) {
		s := playRelayed(seed, safeguards{})
		s.calm = true
		for _, r := range s.ranks {
			r.away = min(r.away, s.now+4*time.Second)
		}
		s.run(s.now + 25*time.Second)
		began, step := s.finished, s.step
		s.run(s.now + 5*time.Second)
		assert.Equal(t, s.broken, "", "seed %d", seed)
		assert.Assert(t, s.step > step+30, "seed %d: the group stands still\n%s", seed, s.state())
		assert.Assert(t, s.finished > began, "seed %d: no switch comes to its end\n%s", seed, strings.Join(s.log, "\n"))
	}
}

// The schedules are hard enough: without either safeguard a pass begins with two maps.
func TestRelayedSchedulesCatchMissingSafeguards(t *testing.T) {
	for name, off := range map[string]safeguards{"settle": {settle: true}, "hold": {hold: true}} {
		caught := 0
		for seed := range uint64(schedules / 3) {
			if playRelayed(seed, off).broken != "" {
				caught++
			}
		}
		assert.Assert(t, caught > 0, "nothing notices that %s is off", name)
		t.Logf("%s: caught in %d of %d schedules", name, caught, schedules/3)
	}
}
