package upstreamcheck

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a check of parts that lets the failure pass that it was written for, or that counts what
// the rule allows.
func TestPartCheck(t *testing.T) {
	crashes := []time.Time{at(1), at(2), at(3), at(4), at(5)}
	check := func(list []Arrival, excused Excused) error {
		return CheckPart(crashes, list, 3*time.Second, excused)
	}
	assert.NilError(t, check(arrivals("a", 7, 9), nil), "within the window")
	assert.NilError(t, check(arrivals("a", 8.1, 3), nil))
	assert.ErrorContains(t, check(arrivals("a", 8.1, 4), nil), "4 requests reached upstreams later than 3s")
	assert.NilError(t, check(arrivals("a", 8.1, 9), func(string, time.Time) bool { return true }))
	assert.NilError(t, CheckPart(crashes[:4], arrivals("a", 90, 9), 3*time.Second, nil), "four crashes")
}

// Guards against the same of the check of sound requests.
func TestSoundCheck(t *testing.T) {
	usual := Begun{Sent: 100, Begun: 90}
	assert.NilError(t, CheckSound(usual, Begun{Sent: 100, Begun: 45}))
	assert.ErrorContains(t, CheckSound(usual, Begun{Sent: 100, Begun: 44}), "44 of 100 sound requests")
	assert.NilError(t, CheckSound(usual, Begun{Sent: 19}), "too few to tell")
	assert.NilError(t, CheckSound(Begun{Sent: 19, Begun: 19}, Begun{Sent: 100}), "too few to tell")
}
