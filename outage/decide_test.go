package outage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// streamRequest returns a stream's request of a caller that has 8 s and leaves after 1.7 s without an
// event.
func streamRequest(now time.Time, retried bool) *Request {
	return &Request{
		GiveUpAt: now.Add(1700 * ms), Deadline: now.Add(8 * time.Second), LastStart: now.Add(7850 * ms), Hold: 1700 * ms, Retried: retried,
	}
}

// in returns a forecast relative to the start.
func in(earliest, expected time.Duration) Forecast {
	return Forecast{DownSince: start, Earliest: start.Add(earliest), Expected: start.Add(expected)}
}

// Guards against requests that are held though even the earliest recovery is too late for them.
func TestNoRequestIsHeldInVain(t *testing.T) {
	for _, retried := range []bool{false, true} {
		r := streamRequest(start, retried)
		assert.Assert(t, !r.Holds(start, in(1701*ms, 1701*ms)))
		late := in(100*ms, 200*ms)
		late.Returning = true
		assert.Assert(t, !r.Holds(r.GiveUpAt, late))
	}
	r := streamRequest(start, true)
	r.AdmitTime = 1700 * ms
	assert.Assert(t, !r.Holds(start, in(100*ms, 200*ms)), "too many are ahead of it")
}

// Guards against a retry that is refused though the group may well be back in time, and against a
// first try that is held while nothing tells that the group comes back.
func TestRetriesAreHeldAndFirstTriesComeBack(t *testing.T) {
	f := in(600*ms, 2400*ms)
	assert.Assert(t, streamRequest(start, true).Holds(start, f))
	assert.Assert(t, !streamRequest(start, false).Holds(start, f))
	assert.Assert(t, !streamRequest(start, true).Holds(start, in(600*ms, 4*time.Second)))
	f = in(600*ms, 800*ms)
	f.Returning = true
	assert.Assert(t, streamRequest(start, false).Holds(start, f))
}

// A first try is held if its caller has too little time left to come back.
func TestCallerWithoutTimeToComeBackIsHeld(t *testing.T) {
	r := &Request{GiveUpAt: start.Add(900 * ms), Deadline: start.Add(time.Second), LastStart: start.Add(900 * ms), Hold: 100 * ms}
	assert.Assert(t, r.Holds(start, in(600*ms, 900*ms)))
}

// Guards against callers that come back into the same outage: a Retry-After is the expected recovery
// and the caller's place after it, as far as the caller honors it. One who can't be served by then
// learns the whole time, and doesn't come back for a second refusal.
func TestRetryAfter(t *testing.T) {
	r := streamRequest(start, false)
	honored := r.Deadline.Sub(start) / honoredFraction
	assert.Equal(t, r.RetryAfter(start, in(600*ms, 2*time.Second), 300*ms), 2300*ms)
	assert.Equal(t, r.RetryAfter(start, in(600*ms, 4*time.Second), 0), honored)
	assert.Equal(t, r.RetryAfter(start, in(0, 0), 0), minRetryAfter)
	assert.Equal(t, r.RetryAfter(start, in(5*time.Second, 9*time.Second), 0), 9*time.Second)
	r.Deadline = time.Time{}
	assert.Equal(t, r.RetryAfter(start, in(600*ms, 9*time.Second), time.Second), 10*time.Second, "the time left is unknown")
	f := in(600*ms, 2*time.Second)
	assert.Assert(t, r.ReturnsAfterRecovery(start, f, 2*time.Second) && !r.ReturnsAfterRecovery(start, f, 1999*ms))
	r = streamRequest(start, false)
	assert.Assert(t, r.ReturnsAfterRecovery(start, f, honored) && !r.ReturnsAfterRecovery(start, f, honored+1))
	r.Retried = true
	assert.Assert(t, !r.ReturnsAfterRecovery(start, f, honored))
}

// Guards against a Retry-After that the caller doesn't honor though it could be served, against
// negative ones, and against requests that are held past their time.
func TestHoldsAndRetryAfterWithinBounds(t *testing.T) {
	duration := func(t *rapid.T, name string, least, most time.Duration) time.Duration {
		return time.Duration(rapid.Int64Range(int64(least), int64(most)).Draw(t, name))
	}
	rapid.Check(t, func(t *rapid.T) {
		left := duration(t, "left", -time.Second, 60*time.Second)
		r := &Request{
			Deadline: start.Add(left), LastStart: start.Add(left - duration(t, "head", 0, time.Second)),
			GiveUpAt: start.Add(duration(t, "give up", -time.Second, 60*time.Second)), Hold: duration(t, "hold", 0, 60*time.Second),
			Retried: rapid.Bool().Draw(t, "retried"), AdmitTime: duration(t, "admit", 0, 5*time.Second),
		}
		earliest := duration(t, "earliest", 0, 60*time.Second)
		f := in(earliest, earliest+duration(t, "expected", 0, 60*time.Second))
		f.Returning = rapid.Bool().Draw(t, "returning")
		if r.Holds(start, f) && (!start.Before(r.GiveUpAt) || f.Earliest.Add(r.AdmitTime).After(r.GiveUpAt)) {
			t.Fatal("held though the earliest recovery is too late")
		}
		wait := r.RetryAfter(start, f, duration(t, "offset", 0, 10*time.Second))
		if wait < 0 {
			t.Fatalf("negative: %s", wait)
		}
		// A third of the time left is enough if the group may well be back by the end of the second hold.
		back := start.Add(left / 3)
		until := back.Add(r.Hold)
		if r.LastStart.Before(until) {
			until = r.LastStart
		}
		switch enough := left > 3 && !f.Earliest.Add(f.Expected.Sub(f.Earliest)/2).After(until); {
		case enough && wait > left/3:
			t.Fatalf("%s, though the caller honors %s and may be served then", wait, left/3)
		case !enough && wait <= left/3:
			t.Fatalf("%s makes the caller come back in vain", wait)
		}
	})
}
