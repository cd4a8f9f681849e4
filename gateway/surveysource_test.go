package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// If surveys stop while the replica is still connected, as when it is partitioned from the
// leader, the next replica is selected.
func TestSurveySourceSwitchesReplica(t *testing.T) {
	var s surveySource
	replicas := []string{"a", "b", "c"}
	now := time.Unix(100, 0)
	assert.Equal(t, s.pick(replicas), "a")
	assert.Assert(t, !s.expectsSurvey(now), "no survey has arrived yet")
	s.recordSurvey(now)
	now = now.Add(surveySilenceTimeout)
	assert.Assert(t, s.expectsSurvey(now))
	s.next()
	assert.Equal(t, s.pick(replicas), "b")
	s.recordSurvey(now)
	assert.Equal(t, s.silenceTimeout(), surveySilenceTimeout)
}

// While no replica has surveys, replicas are tried at growing intervals, and no longer after
// surveyMemory.
func TestSurveySourceBacksOff(t *testing.T) {
	var s surveySource
	now := time.Unix(100, 0)
	s.recordSurvey(now)
	tries := 0
	for end := now.Add(time.Minute); now.Before(end) && s.expectsSurvey(now); tries++ {
		now = now.Add(s.silenceTimeout())
		s.next()
	}
	assert.Assert(t, tries <= 4, "%d tries", tries)
	assert.Assert(t, s.silenceTimeout() <= maxSurveySilence)
}
