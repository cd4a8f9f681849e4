package lockstep

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

const (
	statusUnknown = wire.RankOrderStatus_RANK_ORDER_STATUS_UNKNOWN
	statusDone    = wire.RankOrderStatus_RANK_ORDER_STATUS_DONE
)

// armingSwitch returns a switcher that holds the group and has just ordered all ranks to be
// armed, the orders, and their time.
func armingSwitch(t *testing.T) (*Switcher, []Order, time.Time) {
	t.Helper()
	s, now := preparedSwitch(0)
	s.Tick(now)
	assert.Equal(t, s.Phase(), Holding)
	s.HandleReport(now, s.holder, "instance", &wire.RankReport{Step: 1, Prepared: s.Version(), Held: s.step})
	now = now.Add(time.Millisecond)
	orders := s.Tick(now)
	assert.Equal(t, s.Phase(), Arming)
	assert.Equal(t, len(orders), 4)
	return s, orders, now
}

// lateReport is the state of a rank before it was armed, as a rank reports it late to another
// host.
func lateReport(s *Switcher, rank int) *wire.RankReport {
	r := &wire.RankReport{Step: 1, Prepared: s.Version(), AgeMs: 400}
	if rank == s.holder {
		r.Held = s.step
	}
	return r
}

// Ranks that were called without their sidecars answered that they were armed, and the group was
// held until late reports showed it as well. Until a rank has been read, the switch must not end:
// the rank may hold the group by an order of an earlier attempt.
func TestAnswersToArmOrdersReleaseGroup(t *testing.T) {
	s, orders, now := armingSwitch(t)
	for _, o := range orders {
		s.HandleReply(now.Add(5*time.Millisecond), o.Rank, o.RankOrder, &wire.RankOrderReply{Status: statusDone, After: lateReport(s, o.Rank)})
	}
	now = now.Add(6 * time.Millisecond)
	released := s.Tick(now)
	assert.Equal(t, s.Phase(), Releasing)
	assert.Equal(t, len(released), 1)
	assert.Equal(t, released[0].Rank, s.holder)
	assert.Equal(t, released[0].Kind, wire.RankOrderKind_RANK_ORDER_KIND_GO)

	s.HandleReply(now, s.holder, released[0].RankOrder, &wire.RankOrderReply{Status: statusDone, After: &wire.RankReport{Step: 1, Prepared: s.Version(), Armed: s.Version()}})
	s.Tick(now)
	assert.Equal(t, s.Phase(), Releasing, "three ranks haven't been read since they were armed")
	earlier := (s.holder + 1) % 4
	for i := range 4 {
		assert.Assert(t, s.AwaitsRank(now, i), "rank %d", i)
		r := &wire.RankReport{Step: 1, Prepared: s.Version(), Armed: s.Version()}
		if i == earlier {
			r.Held = s.step - 1
		}
		s.HandleReport(now, i, "instance", r)
	}
	released = s.Tick(now)
	assert.Equal(t, len(released), 1, "a hold of an earlier attempt isn't released")
	assert.Equal(t, released[0].Rank, earlier)
	s.HandleReply(now, earlier, released[0].RankOrder, &wire.RankOrderReply{Status: statusDone, After: &wire.RankReport{Step: s.step, Map: s.Version()}})
	s.Tick(now)
	assert.Equal(t, s.Phase(), Idle)
	assert.Equal(t, s.Outcome(), "in force")
}

// A group that goes on while a rank isn't armed begins a pass with two maps. Only a rank's own
// answer DONE to the order that awaits a reply may count, and not against a newer report.
func TestOtherAnswersDoNotReleaseGroup(t *testing.T) {
	const rank = 2
	late := 300 * time.Millisecond
	for _, c := range []struct {
		name   string
		answer func(s *Switcher, o Order, now time.Time)
	}{
		{"no answer", func(s *Switcher, o Order, now time.Time) { s.HandleReply(now, rank, o.RankOrder, nil) }},
		{"unknown", func(s *Switcher, o Order, now time.Time) {
			s.HandleReply(now, rank, o.RankOrder, &wire.RankOrderReply{Status: statusUnknown, After: lateReport(s, rank)})
		}},
		{"conflict", func(s *Switcher, o Order, now time.Time) {
			s.HandleReply(now, rank, o.RankOrder, &wire.RankOrderReply{Status: wire.RankOrderStatus_RANK_ORDER_STATUS_CONFLICT, After: lateReport(s, rank)})
		}},
		{"answer after the timeout", func(s *Switcher, o Order, now time.Time) {
			s.HandleReply(now, rank, o.RankOrder, nil)
			s.HandleReply(now, rank, o.RankOrder, &wire.RankOrderReply{Status: statusDone})
		}},
		{"newer report", func(s *Switcher, o Order, now time.Time) {
			s.HandleReply(now, rank, o.RankOrder, &wire.RankOrderReply{Status: statusDone})
			s.HandleReport(now.Add(time.Millisecond), rank, "instance", &wire.RankReport{Step: 1, Prepared: s.Version()})
		}},
		{"newer report that arrived first", func(s *Switcher, o Order, now time.Time) {
			s.HandleReport(now, rank, "instance", &wire.RankReport{Step: 1, Prepared: s.Version()})
			s.HandleReply(now.Add(time.Millisecond), rank, o.RankOrder, &wire.RankOrderReply{Status: statusDone})
		}},
		{"restart of the rank", func(s *Switcher, o Order, now time.Time) {
			s.HandleReply(now, rank, o.RankOrder, &wire.RankOrderReply{Status: statusDone})
			s.HandleReport(now.Add(-late), rank, "another instance", &wire.RankReport{Step: 1, Prepared: s.Version()})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, orders, now := armingSwitch(t)
			now = now.Add(5 * time.Millisecond)
			for _, o := range orders {
				if o.Rank != rank {
					s.HandleReply(now, o.Rank, o.RankOrder, &wire.RankOrderReply{Status: statusDone, After: lateReport(s, o.Rank)})
					continue
				}
				c.answer(s, o, now)
			}
			s.Tick(now)
			assert.Equal(t, s.Phase(), Arming)
			assert.Assert(t, s.AwaitsRank(now, rank))
		})
	}
}

// An answer for a version that was given up must not confirm the next version.
func TestArmAnswerCountsForItsVersionOnly(t *testing.T) {
	s, orders, now := armingSwitch(t)
	s.HandleReply(now, 0, orders[0].RankOrder, &wire.RankOrderReply{Status: statusDone})
	assert.Assert(t, s.ranks[0].isArmed(s.Version()))
	assert.Assert(t, !s.ranks[0].isArmed(s.Version()+1))
}
