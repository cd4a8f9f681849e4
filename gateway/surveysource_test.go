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
	assert.Equal(t, s.pick(now, replicas), "a")
	assert.Assert(t, !s.expectsSurvey(now), "no survey has arrived yet")
	s.recordSurvey(now)
	now = now.Add(surveySilenceTimeout)
	assert.Assert(t, s.expectsSurvey(now))
	s.recordSilence(now, "a")
	assert.Equal(t, s.pick(now, replicas), "b")
	s.recordSurvey(now)
	assert.Equal(t, s.silenceTimeout(), surveySilenceTimeout)
	assert.Equal(t, s.pick(now.Add(surveySourceBackoff), replicas), "a", "its silence is forgotten")
}

// While no replica has surveys, replicas are tried at growing intervals, and no longer after
// surveyMemory.
func TestSurveySourceBacksOff(t *testing.T) {
	var s surveySource
	replicas := []string{"a", "b", "c"}
	now := time.Unix(100, 0)
	s.recordSurvey(now)
	tries := 0
	for end := now.Add(time.Minute); now.Before(end) && s.expectsSurvey(now); tries++ {
		now = now.Add(s.silenceTimeout())
		s.recordSilence(now, s.pick(now, replicas))
	}
	assert.Assert(t, tries <= 4, "%d tries", tries)
	assert.Assert(t, s.silenceTimeout() <= maxSurveySilence)
}

// Guards against one silent replica being tried again and again while others haven't been tried.
func TestSurveySourceTriesAllReplicas(t *testing.T) {
	var s surveySource
	replicas := []string{"a", "b", "c"}
	now := time.Unix(100, 0)
	var tried []string
	for range 6 {
		addr := s.pick(now, replicas)
		tried = append(tried, addr)
		now = now.Add(time.Second)
		s.recordSilence(now, addr)
	}
	assert.DeepEqual(t, tried, []string{"a", "b", "c", "a", "b", "c"})
}

// Guards against gateways that receive surveys from another failure domain for good, because that was
// the first replica that they knew, or the only one that answered.
func TestSurveysMoveToTheOwnDomain(t *testing.T) {
	var s surveySource
	assert.Assert(t, !s.shouldMove(start, "far", nil), "no failure domain is known yet")
	later := start.Add(maxMoveDelay)
	assert.Assert(t, s.shouldMove(later, "far", []string{"near"}))
	s.recordSilence(later, "near")
	assert.Assert(t, !s.shouldMove(later.Add(maxMoveDelay), "far", []string{"near"}), "it was silent")
	assert.Assert(t, s.shouldMove(later.Add(surveySourceBackoff), "far", []string{"near"}), "it may be back")
	assert.Assert(t, !s.shouldMove(later.Add(surveySourceBackoff+maxMoveDelay), "near", []string{"near"}))
}

// Guards against all gateways of a failure domain moving in the same second to a replica that has
// just come back.
func TestGatewaysMoveApart(t *testing.T) {
	moved := make([]int, 10)
	for range 400 {
		var s surveySource
		_ = s.shouldMove(start, "far", nil)
		for now := start; ; now = now.Add(100 * time.Millisecond) {
			if s.shouldMove(now, "far", []string{"near"}) {
				moved[int(now.Sub(start)/time.Second)]++
				break
			}
		}
	}
	for second, n := range moved {
		assert.Assert(t, n < 200, "%d of 400 in second %d", n, second)
	}
}
