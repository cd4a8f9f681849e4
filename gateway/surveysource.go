package gateway

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"
)

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
	// surveySourceBackoff is how long a replica that sent no surveys is tried only after all
	// others.
	surveySourceBackoff = 10 * time.Second
	// maxMoveDelay bounds the random time between two checks whether a replica of the gateway's own
	// failure domain can be used, so that gateways don't all move at once.
	maxMoveDelay = 4 * time.Second
)

// errNearerReplica ends a stream of surveys because a replica of the gateway's failure domain can be
// used instead.
var errNearerReplica = errors.New("a replica of the same failure domain can be used")

// surveySource selects the replica from which surveys of ranks are received, one at a time.
// Replicas relay what the leader of the groups sends; a replica that is cut off from the leader
// responds but sends no surveys, so another one is selected.
//
// Surveys are most of the bytes that a gateway receives, so they should come from a replica of its own
// failure domain. A gateway that starts knows no failure domains yet and begins with any replica; it
// moves when it knows them, or when its own domain's replicas are back.
type surveySource struct {
	timeout time.Duration
	// failedAt is when each replica was last silent.
	failedAt map[string]time.Time
	// lastSurveyAt is when the last survey arrived; zero before the first.
	lastSurveyAt time.Time
	// nextMoveCheck is when to look for a nearer replica.
	nextMoveCheck time.Time
}

// pick returns the first replica of a list in this gateway's order of preference that wasn't silent
// lately; if all were, the one whose silence is longest ago.
func (s *surveySource) pick(now time.Time, replicas []string) string {
	for _, addr := range replicas {
		if s.usable(now, addr) {
			return addr
		}
	}
	return slices.MinFunc(replicas, func(a, b string) int { return s.failedAt[a].Compare(s.failedAt[b]) })
}

func (s *surveySource) usable(now time.Time, addr string) bool {
	failed, ok := s.failedAt[addr]
	return !ok || now.Sub(failed) >= surveySourceBackoff
}

// shouldMove reports whether a replica of nearby, those of the gateway's own failure domain, is to be
// used in place of the current one. It is checked at random intervals only.
func (s *surveySource) shouldMove(now time.Time, current string, nearby []string) bool {
	if now.Before(s.nextMoveCheck) {
		return false
	}
	s.nextMoveCheck = now.Add(rand.N(maxMoveDelay))
	return !slices.Contains(nearby, current) && slices.ContainsFunc(nearby, func(addr string) bool { return s.usable(now, addr) })
}

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

// recordSilence records that a replica can't be reached or sent no surveys.
func (s *surveySource) recordSilence(now time.Time, addr string) {
	if s.failedAt == nil {
		s.failedAt = map[string]time.Time{}
	}
	s.failedAt[addr] = now
	s.timeout = min(2*s.silenceTimeout(), maxSurveySilence)
}
