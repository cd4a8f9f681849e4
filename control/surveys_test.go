package control

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A survey received from another replica is sent to entries, but not to replicas. Otherwise
// replicas would keep passing on the last survey of a group that has no leader any more, and
// entries would choose ranks by outdated states.
func TestReceivedSurveysAreNotSentToReplicas(t *testing.T) {
	f := &surveyFeed{}
	received := &publishedSurvey{number: 7, states: []byte{1}}
	f.publish(received)
	assert.Assert(t, f.nextSurvey(nil, true) == nil)
	assert.Equal(t, f.nextSurvey(nil, false), received)
	assert.Assert(t, f.nextSurvey(received, false) == nil, "sent once only")

	local := &publishedSurvey{number: 8, states: []byte{2}, local: true}
	f.publish(local)
	assert.Equal(t, f.nextSurvey(received, true), local)
	assert.Equal(t, f.nextSurvey(received, false), local)
}

func TestPublishWakesWatchers(t *testing.T) {
	f := &surveyFeed{}
	changed, cancel := f.watchers.Subscribe()
	f.publish(&publishedSurvey{number: 1})
	f.publish(&publishedSurvey{number: 2})
	<-changed
	assert.Equal(t, f.nextSurvey(nil, false).number, uint64(2))
	cancel()
	f.publish(&publishedSurvey{number: 3})
	assert.Equal(t, len(changed), 0)
}
