package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// If surveys stop while the replica is still connected, as when it is partitioned from the
// leader, the next replica is selected.
func TestSurveysAreHeardFromTheNextReplica(t *testing.T) {
	var s surveySource
	replicas := []string{"a", "b", "c"}
	now := time.Unix(100, 0)
	assert.Equal(t, s.pick(replicas), "a")
	assert.Assert(t, !s.expects(now), "no survey has arrived yet")
	s.heard(now)
	now = now.Add(silentSurvey)
	assert.Assert(t, s.expects(now))
	s.lost()
	assert.Equal(t, s.pick(replicas), "b")
	s.heard(now)
	assert.Equal(t, s.limit(), silentSurvey)
}

// While no replica has surveys, replicas are tried at growing intervals, and no longer after
// surveyMemory.
func TestSurveysAreSoughtMoreAndMoreSeldom(t *testing.T) {
	var s surveySource
	now := time.Unix(100, 0)
	s.heard(now)
	tries := 0
	for end := now.Add(time.Minute); now.Before(end) && s.expects(now); tries++ {
		now = now.Add(s.limit())
		s.lost()
	}
	assert.Assert(t, tries <= 4, "%d tries", tries)
	assert.Assert(t, s.limit() <= mostSilentSurvey)
}
