package gateway

import "time"

const (
	// silentSurvey is how long a replica may tell nothing of ranks that another may know: it
	// speaks each 0.4 s, and tells five times a second while their leader does.
	silentSurvey = 1200 * time.Millisecond
	// mostSilentSurvey bounds that time, which doubles with each replica that was tried in
	// vain: without a leader nobody can tell, and hundreds of entries that went from one
	// replica to the next would be one more load on the next leader.
	mostSilentSurvey = 10 * time.Second
	// surveyMemory is how long after the last survey another one is expected.
	surveyMemory = 10 * time.Second
)

// surveySource says which replica to hear surveys of ranks from, one at a time. Replicas
// pass on what the leader of the groups tells; one that is cut off from the leader is there,
// but tells nothing, and another is taken then.
type surveySource struct {
	at       int
	patience time.Duration
	// heardAt is when a survey came last; zero before the first.
	heardAt time.Time
}

// pick is the replica to use, of a list in this entry's order of preference.
func (s *surveySource) pick(replicas []string) string { return replicas[s.at%len(replicas)] }

// heard notes a survey.
func (s *surveySource) heard(now time.Time) {
	s.heardAt, s.patience = now, 0
}

// expects says whether a replica that is there should tell something.
func (s *surveySource) expects(now time.Time) bool {
	return !s.heardAt.IsZero() && now.Sub(s.heardAt) < surveyMemory
}

// limit is how long to wait for the next word.
func (s *surveySource) limit() time.Duration { return max(s.patience, silentSurvey) }

// lost goes to the next replica.
func (s *surveySource) lost() {
	s.at++
	s.patience = min(2*s.limit(), mostSilentSurvey)
}
