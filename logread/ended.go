package logread

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// msgEnded is the message that gateways log when a request has ended.
const msgEnded = "Request ended."

// waitedThreshold is the time at the gateway from which a refusal counts as one after waiting.
const waitedThreshold = 100 * time.Millisecond

// Cause classifies the outcome of a request. Its text is what tables show.
type Cause string

// Causes of requests that were answered or left by their callers. Those of refusals and failures
// contain the gateway's reason.
const (
	OnTime Cause = "in time"
	// LatePause: the pause between two events was too long.
	LatePause Cause = "late: pause"
	// LateQueued: waiting at the gateway took most of the time to the first event.
	LateQueued Cause = "late: waited"
	// LateRetried: most of the time passed between the caller's first send of the request and its arrival
	// at this gateway.
	LateRetried Cause = "late: came back"
	// LateEarlierAttempts: attempts before the last one took most of the time to the first event.
	LateEarlierAttempts Cause = "late: earlier attempts"
	// LateUpstream: the upstream took most of the time to the first event.
	LateUpstream Cause = "late: upstream"
	// UpstreamFailed: the upstream answered with a server error.
	UpstreamFailed Cause = "failed: upstream's answer"
	// CallerGone: the caller closed the connection before the answer.
	CallerGone Cause = "caller left"
)

// failureReasons are the gateway's reasons that count as failures, callerErrorReasons those that count
// as errors of the caller. All other reasons count as refusals.
var (
	failureReasons     = []string{"in-doubt", "timeout", "stream-broken-off", "last-trial"}
	callerErrorReasons = []string{"no-route", "unknown-key", "bad-request", "header-too-large", "body-too-large", "body-timeout"}
)

// EndedRequest is the outcome of a request at a gateway, as its line reports it.
type EndedRequest struct {
	At               time.Time
	Request, Service string
	Status           int
	// Priority is that of the request, 0 the most urgent; nil if all requests of the service have the
	// same one.
	Priority *uint32
	// OverShare says that the team was over its fair share of the service.
	OverShare bool
	// Reason is the gateway's reason for passing no answer on, Why the inputs of a refusal, and Err the
	// error.
	Reason, Why, Err string
	// Took is the time at the gateway, Waited the part of it spent waiting for a slot, and Age the time
	// from the caller's first send of the request to its arrival.
	Took, Waited, Age time.Duration
	// FirstEvent is the time to a stream's first event, LongestPause the longest one between two events.
	FirstEvent, LongestPause time.Duration
	late                     string
	attempts                 []attempt
	// LeftOut is the number of lines of this kind that the gateway left out before this one.
	LeftOut int64
}

// attempt is one send to an upstream.
type attempt struct {
	upstream string
	took     time.Duration
}

// ParseEndedRequest parses the line of a request that has ended. It returns false for other lines.
func ParseEndedRequest(l *Line) (e EndedRequest, ok bool) {
	if l.Msg != msgEnded {
		return e, false
	}
	return EndedRequest{
		At: l.At, Request: l.Get("request"), Service: l.Get("service"), Status: int(l.Int("status")),
		Priority: l.Uint("priority"), OverShare: l.Get("over_share") == "true",
		Reason: l.Get("reason"), Why: l.Get("why"), Err: l.Get("err"),
		Took: l.Millis("took_ms"), Waited: l.Millis("waited_ms"), Age: l.Millis("age_ms"),
		FirstEvent: l.Millis("first_event_ms"), LongestPause: l.Millis("longest_pause_ms"),
		late: l.Get("late"), attempts: parseAttempts(l.Get("attempts")), LeftOut: l.Int("lines_left_out"),
	}, true
}

// parseAttempts parses a list of UPSTREAM:OUTCOME:STATUS:MILLISECONDS, separated by commas. It skips
// malformed items.
func parseAttempts(text string) (list []attempt) {
	for part := range strings.SplitSeq(text, ",") {
		fields := strings.Split(part, ":")
		ms, err := strconv.ParseInt(fields[len(fields)-1], 10, 64)
		if err != nil {
			continue
		}
		list = append(list, attempt{upstream: fields[0], took: time.Duration(ms) * time.Millisecond})
	}
	return list
}

// earlierAttemptsTook returns the duration of the attempts before the last one.
func (e *EndedRequest) earlierAttemptsTook() (sum time.Duration) {
	for _, a := range e.attempts[:max(len(e.attempts)-1, 0)] {
		sum += a.took
	}
	return sum
}

// Cause classifies the outcome.
func (e *EndedRequest) Cause() Cause {
	switch {
	case e.Reason != "":
		return e.unansweredCause()
	case e.Status >= 500:
		return UpstreamFailed
	case e.late == "pause":
		return LatePause
	case e.late != "":
		return e.lateFirstEventCause()
	}
	return OnTime
}

// unansweredCause returns the cause of a request for which no upstream's answer was passed on.
func (e *EndedRequest) unansweredCause() Cause {
	switch {
	case e.Reason == "caller-gone":
		return CallerGone
	case slices.Contains(failureReasons, e.Reason):
		return Cause("failed: " + e.Reason)
	case slices.Contains(callerErrorReasons, e.Reason):
		return Cause("not allowed: " + e.Reason)
	case e.Took >= waitedThreshold:
		return Cause("refused after waiting: " + e.Reason)
	}
	return Cause("refused: " + e.Reason)
}

// lateFirstEventCause returns what took most of the time to a late first event.
func (e *EndedRequest) lateFirstEventCause() Cause {
	earlier := e.earlierAttemptsTook()
	cause, longest := LateUpstream, e.FirstEvent-e.Waited-earlier
	for _, part := range []struct {
		cause Cause
		took  time.Duration
	}{{LateQueued, e.Waited}, {LateEarlierAttempts, earlier}, {LateRetried, e.Age}} {
		if part.took > longest {
			cause, longest = part.cause, part.took
		}
	}
	return cause
}

// Sentence describes the outcome and its cause in one sentence. It names the priority of the request
// where there is one.
func (e *EndedRequest) Sentence() string {
	return strings.TrimSuffix(e.outcomeSentence(), ".") + e.priorityText() + "."
}

func (e *EndedRequest) priorityText() (text string) {
	if e.Priority != nil {
		text = "; its priority was " + strconv.FormatUint(uint64(*e.Priority), 10)
	}
	if e.OverShare {
		text += "; its team was over its fair share"
	}
	return text
}

func (e *EndedRequest) outcomeSentence() string {
	switch cause := e.Cause(); cause {
	case OnTime:
		return fmt.Sprintf("Answered in time, with %d after %v.", e.Status, e.Took)
	case LatePause:
		return fmt.Sprintf("Late by a pause of %v between two events.", e.LongestPause)
	case LateQueued:
		return fmt.Sprintf("Late by its first event, after %v; it waited %v of that at the gateway for a slot.", e.FirstEvent, e.Waited)
	case LateRetried:
		return fmt.Sprintf("Late by its first event: its caller had sent it first %v before it came to this gateway.", e.Age)
	case LateEarlierAttempts:
		return fmt.Sprintf("Late by its first event, after %v; earlier attempts took %v of that.", e.FirstEvent, e.earlierAttemptsTook())
	case LateUpstream:
		return fmt.Sprintf("Late by its first event, after %v; the upstream %s took most of that.", e.FirstEvent, e.lastUpstream())
	case UpstreamFailed:
		return fmt.Sprintf("The upstream %s answered with %d.", e.lastUpstream(), e.Status)
	default:
		return e.unansweredSentence(cause)
	}
}

func (e *EndedRequest) unansweredSentence(cause Cause) string {
	text := fmt.Sprintf("Ended with %d after %v; %s", e.Status, e.Took, cause)
	switch {
	case e.Why != "":
		text += " (" + e.Why + ")"
	case e.Err != "":
		text += " (" + e.Err + ")"
	}
	if len(e.attempts) == 0 {
		text += "; it was sent to no upstream"
	}
	return text + "."
}

func (e *EndedRequest) lastUpstream() string {
	if len(e.attempts) == 0 {
		return "(unknown)"
	}
	return e.attempts[len(e.attempts)-1].upstream
}
