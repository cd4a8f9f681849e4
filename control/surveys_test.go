package control

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Two replicas hear of each other's surveys. What one has heard it tells entries, and no
// replica: they would go on telling each other of a group that nobody leads any more, and
// entries would send to ranks that are long full.
func TestSurveysGoOneHopBetweenReplicas(t *testing.T) {
	f := &surveyFeed{}
	heard := &toldSurvey{number: 7, states: []byte{1}}
	f.tell(heard)
	assert.Assert(t, f.newFor(nil, true) == nil)
	assert.Equal(t, f.newFor(nil, false), heard)
	assert.Assert(t, f.newFor(heard, false) == nil, "told once")

	own := &toldSurvey{number: 8, states: []byte{2}, own: true}
	f.tell(own)
	assert.Equal(t, f.newFor(heard, true), own)
	assert.Equal(t, f.newFor(heard, false), own)
}

func TestWatchersAreWokenBySurveys(t *testing.T) {
	f := &surveyFeed{}
	changed, cancel := f.watchers.Subscribe()
	f.tell(&toldSurvey{number: 1})
	f.tell(&toldSurvey{number: 2})
	<-changed
	assert.Equal(t, f.newFor(nil, false).number, uint64(2))
	cancel()
	f.tell(&toldSurvey{number: 3})
	assert.Equal(t, len(changed), 0)
}
