package backpressure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a rest that a later refusal shortens, and against one that never ends.
func TestRestsLastAsLongAsTheLongestRefusalSays(t *testing.T) {
	now := start
	r := NewRests(func() time.Time { return now })
	assert.Assert(t, r.Ask("u", 3*time.Second))
	now = now.Add(time.Second)
	assert.Assert(t, !r.Ask("u", time.Second))
	assert.Equal(t, r.Left()["u"], 2*time.Second)
	assert.Assert(t, !r.Ask("u", 5*time.Second))
	now = now.Add(5*time.Second - 1)
	assert.Equal(t, r.Left()["u"], time.Duration(1))
	now = now.Add(1)
	assert.Equal(t, len(r.Left()), 0)
	assert.Equal(t, len(r.until), 0, "an old rest is kept")
	assert.Assert(t, r.Ask("u", time.Second))
}
