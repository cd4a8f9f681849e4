package logread

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// msgEnded is the message of the line that a gateway writes when a request has ended.
const msgEnded = "Request ended."

// heldFor is the time at a gateway from which a refusal counts as one after waiting.
const heldFor = 100 * time.Millisecond

// Cause is what became of a request, in a word that tables can show.
type Cause string

// Causes of requests that were answered. Refusals and failures are made of the gateway's reason.
const (
	InTime Cause = "in time"
	// LatePause: a pause between two events was too long.
	LatePause Cause = "late: pause"
	// LateWaited: it waited at the gateway for most of the time to its first event.
	LateWaited Cause = "late: waited"
	// LateCameBack: its caller had sent it before, and most of the time had gone by.
	LateCameBack Cause = "late: came back"
	// LateEarlier: attempts before the last one took most of the time.
	LateEarlier Cause = "late: earlier attempts"
	// LateUpstream: the upstream took most of the time.
	LateUpstream Cause = "late: upstream"
	// UpstreamFailed: the upstream's own answer is a failure.
	UpstreamFailed Cause = "failed: upstream's answer"
	// CallerLeft: its caller closed the connection before the answer.
	CallerLeft Cause = "caller left"
)

// Reasons of a gateway that aren't refusals: the request was sent, or its caller is to blame.
var (
	failures = []string{"in-doubt", "timeout", "stream-broken-off", "last-trial"}
	improper = []string{"no-route", "unknown-key", "bad-request", "header-too-large", "body-too-large"}
)

// Ended is the end of a request at a gateway.
type Ended struct {
	At               time.Time
	Request, Service string
	Status           int
	// Reason is the gateway's for not passing on an answer, Why the inputs of a refusal, Err what went wrong.
	Reason, Why, Err string
	// Took is the time at the gateway, Waited that in which it had no place, and Age the time before
	// since its caller had sent it first.
	Took, Waited, Age time.Duration
	// FirstEvent is the time until a stream's first event, LongestPause the longest one between two.
	FirstEvent, LongestPause time.Duration
	late                     string
	attempts                 []attempt
	// LeftOut is how many lines of its kind are missing before this one.
	LeftOut int64
}

// attempt is one send to an upstream.
type attempt struct {
	upstream string
	took     time.Duration
}

// ParseEnded reads the line of a request that has ended; ok says that it is one.
func ParseEnded(l *Line) (e Ended, ok bool) {
	if l.Msg != msgEnded {
		return e, false
	}
	return Ended{
		At: l.At, Request: l.Get("request"), Service: l.Get("service"), Status: int(l.Int("status")),
		Reason: l.Get("reason"), Why: l.Get("why"), Err: l.Get("err"),
		Took: l.Millis("took_ms"), Waited: l.Millis("waited_ms"), Age: l.Millis("age_ms"),
		FirstEvent: l.Millis("first_event_ms"), LongestPause: l.Millis("longest_pause_ms"),
		late: l.Get("late"), attempts: parseAttempts(l.Get("attempts")), LeftOut: l.Int("lines_left_out"),
	}, true
}

// parseAttempts reads UPSTREAM:OUTCOME:STATUS:MILLISECONDS, separated by commas.
func parseAttempts(text string) (list []attempt) {
	for part := range strings.SplitSeq(text, ",") {
		cells := strings.Split(part, ":")
		ms, err := strconv.ParseInt(cells[len(cells)-1], 10, 64)
		if err != nil {
			continue
		}
		list = append(list, attempt{upstream: cells[0], took: time.Duration(ms) * time.Millisecond})
	}
	return list
}

// earlier is how long the attempts before the last one took.
func (e *Ended) earlier() (sum time.Duration) {
	for _, a := range e.attempts[:max(len(e.attempts)-1, 0)] {
		sum += a.took
	}
	return sum
}

// Cause is what became of the request.
func (e *Ended) Cause() Cause {
	switch {
	case e.Reason != "":
		return e.notAnswered()
	case e.Status >= 500:
		return UpstreamFailed
	case e.late == "pause":
		return LatePause
	case e.late != "":
		return e.lateFirst()
	}
	return InTime
}

// notAnswered is the cause where no answer of an upstream was passed on.
func (e *Ended) notAnswered() Cause {
	switch {
	case e.Reason == "caller-gone":
		return CallerLeft
	case slices.Contains(failures, e.Reason):
		return Cause("failed: " + e.Reason)
	case slices.Contains(improper, e.Reason):
		return Cause("not allowed: " + e.Reason)
	case e.Took >= heldFor:
		return Cause("refused after waiting: " + e.Reason)
	}
	return Cause("refused: " + e.Reason)
}

// lateFirst is what took most of the time to a first event that was late.
func (e *Ended) lateFirst() Cause {
	earlier := e.earlier()
	cause, most := LateUpstream, e.FirstEvent-e.Waited-earlier
	for _, part := range []struct {
		cause Cause
		took  time.Duration
	}{{LateWaited, e.Waited}, {LateEarlier, earlier}, {LateCameBack, e.Age}} {
		if part.took > most {
			cause, most = part.cause, part.took
		}
	}
	return cause
}

// Sentence says in one sentence what became of the request and why.
func (e *Ended) Sentence() string {
	switch cause := e.Cause(); cause {
	case InTime:
		return fmt.Sprintf("Answered in time, with %d after %v.", e.Status, e.Took)
	case LatePause:
		return fmt.Sprintf("Late by a pause of %v between two events.", e.LongestPause)
	case LateWaited:
		return fmt.Sprintf("Late by its first event, after %v; for %v of these it waited at the gateway for a place.", e.FirstEvent, e.Waited)
	case LateCameBack:
		return fmt.Sprintf("Late by its first event: its caller had sent it first %v before it came to this gateway.", e.Age)
	case LateEarlier:
		return fmt.Sprintf("Late by its first event, after %v; earlier attempts took %v of these.", e.FirstEvent, e.earlier())
	case LateUpstream:
		return fmt.Sprintf("Late by its first event, after %v; the upstream %s took most of these.", e.FirstEvent, e.lastUpstream())
	case UpstreamFailed:
		return fmt.Sprintf("The upstream %s answered with %d.", e.lastUpstream(), e.Status)
	default:
		return e.unanswered(cause)
	}
}

func (e *Ended) unanswered(cause Cause) string {
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

func (e *Ended) lastUpstream() string {
	if len(e.attempts) == 0 {
		return "(unknown)"
	}
	return e.attempts[len(e.attempts)-1].upstream
}
