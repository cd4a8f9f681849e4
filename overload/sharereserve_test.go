package overload

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against slots that are kept free for nobody, and against a reserve that follows the requests of
// another rank.
func TestShareReserveFollowsArrivals(t *testing.T) {
	var r ShareReserve
	now := time.Unix(1_000_000, 0)
	assert.Equal(t, r.Reserved(now, 0), 0.0)
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		r.RecordArrival(now, 1)
	}
	expected := 100 * reserveTime.Seconds()
	got := r.Reserved(now, 1)
	assert.Assert(t, math.Abs(got-expected-reserveDeviations*math.Sqrt(expected)) < 1, "%f", got)
	assert.Equal(t, r.Reserved(now, 0), 0.0)
	assert.Assert(t, r.Reserved(now.Add(20*time.Second), 1) < 0.1)
	r.RecordArrival(now, math.MaxUint32)
	assert.Assert(t, r.Reserved(now, 12) > 0)
}
