package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The replica that an entry hears surveys from is cut off from the leader of the groups, and
// goes on saying that it is there. The entry goes to the next one; were it to stay, it would
// know the load of ranks from answers alone for as long as the cut lasts.
func TestSurveysAreHeardFromTheNextReplica(t *testing.T) {
	var s surveySource
	replicas := []string{"a", "b", "c"}
	now := time.Unix(100, 0)
	assert.Equal(t, s.pick(replicas), "a")
	assert.Assert(t, !s.expects(now), "nobody may lead a group at all")
	s.heard(now)
	now = now.Add(silentSurvey)
	assert.Assert(t, s.expects(now))
	s.lost()
	assert.Equal(t, s.pick(replicas), "b")
	s.heard(now)
	assert.Equal(t, s.limit(), silentSurvey)
}

// No replica knows of a survey while there is no leader. Entries try them more and more
// seldom, and stay with one after ten seconds.
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
