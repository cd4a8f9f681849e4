package gateway

import "time"

const (
	// surveySilenceTimeout is how long a replica may send no survey while surveys are expected,
	// or nothing at all otherwise. Replicas send a message at least every 0.4 s, and a survey
	// every 0.2 s while the leader of the groups sends them.
	surveySilenceTimeout = 1200 * time.Millisecond
	// maxSurveySilence bounds that time, which doubles with each replica that was tried in vain.
	// Without a leader no replica has surveys, and many gateways that switch replicas often would
	// load the next leader.
	maxSurveySilence = 10 * time.Second
	// surveyMemory is how long after the last survey another one is expected.
	surveyMemory = 10 * time.Second
)

// surveySource selects the replica from which surveys of ranks are received, one at a time.
// Replicas relay what the leader of the groups sends; a replica that is cut off from the leader
// responds but sends no surveys, so another one is selected.
type surveySource struct {
	index   int
	timeout time.Duration
	// lastSurveyAt is when the last survey arrived; zero before the first.
	lastSurveyAt time.Time
}

// pick returns the replica to use from a list in this gateway's order of preference.
func (s *surveySource) pick(replicas []string) string { return replicas[s.index%len(replicas)] }

// recordSurvey records that a survey has arrived.
func (s *surveySource) recordSurvey(now time.Time) {
	s.lastSurveyAt, s.timeout = now, 0
}

// expectsSurvey reports whether a connected replica should send a survey.
func (s *surveySource) expectsSurvey(now time.Time) bool {
	return !s.lastSurveyAt.IsZero() && now.Sub(s.lastSurveyAt) < surveyMemory
}

// silenceTimeout returns how long to wait for the next message.
func (s *surveySource) silenceTimeout() time.Duration { return max(s.timeout, surveySilenceTimeout) }

// next selects the next replica.
func (s *surveySource) next() {
	s.index++
	s.timeout = min(2*s.silenceTimeout(), maxSurveySilence)
}
