package gateway

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Classes of requests are admitted in this order: starved ones, then by priority, within a priority
// those within their fair share, and of these those that can be on time. After an outage, its backlog
// comes after all that aren't starved.
func TestClassOrder(t *testing.T) {
	ordered := []class{
		{starved: true, priority: 1},
		{starved: true, priority: 2},
		{starved: true, priority: 2, overShare: true, late: true},
		{},
		{late: true},
		{overShare: true},
		{overShare: true, late: true},
		{priority: 1},
		{priority: 1, late: true},
		{priority: 2},
		{priority: 2, late: true},
		{priority: 2, overShare: true},
		{late: true, backlog: true},
		{priority: 2, late: true, backlog: true},
	}
	for i, c := range ordered {
		for j, d := range ordered {
			assert.Equal(t, c.before(d), i < j, "%+v and %+v", c, d)
		}
	}
}

func drawClass(t *rapid.T) class {
	return class{
		starved: rapid.Bool().Draw(t, "starved"), priority: rapid.Uint32Range(0, 2).Draw(t, "priority"),
		overShare: rapid.Bool().Draw(t, "over share"), late: rapid.Bool().Draw(t, "late"),
	}
}

// drawOutageClass returns a class that may also be of the backlog of an outage.
func drawOutageClass(t *rapid.T) class {
	c := drawClass(t)
	c.backlog = c.late && rapid.Bool().Draw(t, "backlog")
	return c
}

// The order of classes is total. Guards against an order in which two requests each wait for the
// other, or in which the sorted queue depends on the order of arrival.
func TestClassOrderIsTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawOutageClass(t), drawOutageClass(t), drawOutageClass(t)
		if a.before(a) {
			t.Fatalf("%+v is before itself", a)
		}
		if a != b && a.before(b) == b.before(a) {
			t.Fatalf("%+v and %+v have no order", a, b)
		}
		if a.before(b) && b.before(c) && !a.before(c) {
			t.Fatalf("%+v, %+v, %+v aren't ordered", a, b, c)
		}
	})
}

// drawQueue returns a queue and the time of the test, at which some requests are late and some have
// passed their giveUpAt.
func drawQueue(t *rapid.T, priorities uint32, overShare bool) (*waitQueue, time.Time) {
	now := start.Add(2 * time.Second)
	q := &waitQueue{}
	ages := rapid.SliceOfNDistinct(rapid.IntRange(0, 3000), 0, 20, rapid.ID[int]).Draw(t, "ages")
	for _, age := range ages {
		w := newArrival(now.Add(-time.Duration(age) * time.Millisecond))
		w.priority = rapid.Uint32Range(0, priorities-1).Draw(t, "priority")
		w.overShare = overShare && rapid.Bool().Draw(t, "over share")
		q.add(w)
	}
	return q, now
}

// admitAll empties a queue in the order of admission.
func admitAll(q *waitQueue, now time.Time, starved func(uint32) bool) (order []*waiter) {
	for {
		firsts := q.firsts(now, starved)
		if len(firsts) == 0 {
			return order
		}
		order = append(order, firsts[0])
		q.remove(firsts[0])
	}
}

// With one priority requests go in the order that services without priorities have: those that can
// be on time by onTimeBy, then late ones by giveUpAt, and none after that.
func TestOrderOfOnePriorityIsByDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now := drawQueue(t, 1, false)
		var onTime, late []*waiter
		for _, w := range q.waiters {
			switch {
			case w.canBeOnTime(now):
				onTime = append(onTime, w)
			case now.Before(w.giveUpAt):
				late = append(late, w)
			}
		}
		slices.SortFunc(onTime, func(a, b *waiter) int { return a.onTimeBy.Compare(b.onTimeBy) })
		slices.SortFunc(late, func(a, b *waiter) int { return a.giveUpAt.Compare(b.giveUpAt) })
		if !slices.Equal(admitAll(q, now, nil), append(onTime, late...)) {
			t.Fatal("another order")
		}
	})
}

// The whole queue is admitted in the order of classes, and within a class by deadline. Each request
// that can still be admitted is, exactly once.
func TestQueueIsAdmittedByClass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now := drawQueue(t, 3, true)
		starvedPriority := rapid.Uint32Range(0, 3).Draw(t, "starved")
		starved := func(priority uint32) bool { return priority == starvedPriority }
		left := 0
		for _, w := range q.waiters {
			if now.Before(w.giveUpAt) {
				left++
			}
		}
		order := admitAll(q, now, starved)
		if len(order) != left {
			t.Fatalf("%d of %d were admitted", len(order), left)
		}
		for i := 1; i < len(order); i++ {
			a, b := order[i-1], order[i]
			c, d := a.class(now, starved), b.class(now, starved)
			if d.before(c) || c == d && b.dueBy(d.late).Before(a.dueBy(c.late)) {
				t.Fatalf("%+v was admitted before %+v", c, d)
			}
		}
	})
}

// A request that arrives is behind all queued ones of its class and of those before it, and ahead of
// the others.
func TestAheadCountsEarlierClasses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now := drawQueue(t, 3, true)
		c := drawClass(t)
		starved := func(priority uint32) bool { return priority == 2 }
		want := 0
		for _, w := range q.waiters {
			if d := w.class(now, starved); d == c || d.before(c) {
				want++
			}
		}
		if n := q.ahead(now, c, starved); n != want {
			t.Fatalf("%d are ahead, want %d", n, want)
		}
	})
}
