package quota_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipereach/snipereach/quota"
)

// Guards against shares that add up to more than the allowance, and shares of nothing where there is
// enough for all, at any number of members.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 3000).Draw(t, "total")
		count := rapid.SampledFrom([]int{1, 2, 40, 400, 427, 2000, 5000}).Draw(t, "members")
		sum := 0
		for i := range count {
			s := quota.Position{Index: i, Count: count}.Share(total)
			assert.Assert(t, s == total/count || s == total/count+1, "share %d of %d for %d", s, total, count)
			sum += s
		}
		assert.Equal(t, sum, total)
	})
}

// Guards against more events in some window than allowed, wherever it begins.
func TestWindowHoldsForEverySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const length = 10 * time.Second
		limit := rapid.IntRange(0, 5).Draw(t, "limit")
		var w quota.Window
		now := time.Unix(0, 0)
		var taken []time.Time
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "gap")) * time.Millisecond)
			if w.Take(now, length, limit) {
				taken = append(taken, now)
			}
			inSpan := 0
			for _, at := range taken {
				if now.Sub(at) < length {
					inSpan++
				}
			}
			assert.Assert(t, inSpan <= limit)
		}
	})
}

// Guards against a window that lets more events pass when several are taken at once.
func TestWindowTakesUpToItsLimit(t *testing.T) {
	var w quota.Window
	now := time.Unix(1000, 0)
	assert.Equal(t, w.NextFree(now, time.Second), time.Duration(0))
	assert.Equal(t, w.TakeUpTo(now, time.Second, 5, 3), 3)
	now = now.Add(400 * time.Millisecond)
	assert.Equal(t, w.TakeUpTo(now, time.Second, 5, 3), 2)
	assert.Equal(t, w.TakeUpTo(now, time.Second, 5, 3), 0)
	assert.Equal(t, w.NextFree(now, time.Second), 600*time.Millisecond)
	assert.Equal(t, w.TakeUpTo(now, time.Second, 1, 3), 0, "the limit was lowered")
	now = now.Add(600 * time.Millisecond)
	assert.Equal(t, w.TakeUpTo(now, time.Second, 5, 9), 3)
}

// Guards against a count that outlives its span, or that begins anew each time that a span ends.
func TestRecentCountsTwoSpans(t *testing.T) {
	const span = time.Second
	var r quota.Recent
	now := time.Unix(1000, 0)
	assert.Equal(t, r.Most(now, span), 0)
	for range 5 {
		r.Add(now, span)
	}
	now = now.Add(1500 * time.Millisecond)
	assert.Equal(t, r.Most(now, span), 5)
	r.Add(now, span)
	assert.Equal(t, r.Most(now, span), 5, "the span before counts too")
	now = now.Add(span)
	r.Add(now, span)
	assert.Equal(t, r.Most(now, span), 1)
	assert.Equal(t, r.Most(now.Add(2*span), span), 0)
}
