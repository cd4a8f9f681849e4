package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/snipereach/snipereach/direct"
)

// stream is the state of one response that is passed on event by event.
type stream struct {
	*call
	// started says that the head of the response was sent.
	started bool
	// lastID is the ID of the last event that was sent, or the one from which the caller resumes.
	lastID string
	events int
	// lastEventAt is when the last event was sent.
	lastEventAt time.Time
}

// serveStream answers a request with a stream of events. After a failed attempt it may resume the
// stream at another upstream, after the last event that was passed on.
func (c *call) serveStream() {
	s := &stream{call: c, lastID: c.params.LastEventID}
	var buffered *bufferedResponse
	served := c.runAttempts(func(a *attempt) (o outcome, served bool) {
		buffered, o = s.run(a)
		return o, o == outcomeAnswered
	})
	switch {
	case served:
		s.complete(buffered)
	case s.started:
		s.abort()
	default:
		c.refuseFailed()
	}
}

// run makes one attempt. A response that isn't a stream is returned whole.
func (s *stream) run(a *attempt) (*bufferedResponse, outcome) {
	resp, err := s.send(a, s.lastID)
	if err != nil {
		return nil, s.classifyError(a, err)
	}
	defer resp.Body.Close()
	if o := a.classifyHead(resp.Header); o != outcomeAnswered {
		return nil, o
	}
	if resp.Status != http.StatusOK {
		buffered, o := s.readWhole(a, resp)
		if s.started && o == outcomeAnswered {
			// An error response can't follow the head of a stream.
			buffered.discard()
			return nil, outcomeInDoubt
		}
		return buffered, o
	}
	return nil, s.forward(a, resp)
}

// forward passes events on as they arrive. It returns outcomeAnswered only if the upstream
// completed the stream.
func (s *stream) forward(a *attempt, resp *direct.Response) outcome {
	events := direct.NewEventReader(resp.Body, s.responseMemory)
	defer events.Close()
	for {
		ev, err := events.Next()
		a.watchdog.recordProgress()
		if errors.Is(err, io.EOF) {
			if resp.Unframed && s.lastID == "" && s.events == 0 {
				// A stream has an event at least. Without any, its upstream has stopped after the head.
				a.cut = true
				return outcomeInDoubt
			}
			if !s.started {
				s.start(resp)
			}
			return outcomeAnswered
		}
		if err != nil {
			return s.classifyError(a, err)
		}
		if !s.follows(ev) {
			return outcomeInDoubt
		}
		if !s.started {
			s.start(resp)
		}
		if !s.writeEvent(a, ev) {
			return outcomeCallerGone
		}
	}
}

// follows reports whether an event may follow the last one that was passed on. Numeric IDs grow
// by one; after a resumption, an upstream that restarted the stream or skipped ahead would
// duplicate or drop events.
func (s *stream) follows(ev direct.Event) bool {
	if ev.ID == "" || s.lastID == "" {
		return true
	}
	id, err := strconv.ParseInt(ev.ID, 10, 64)
	last, lastErr := strconv.ParseInt(s.lastID, 10, 64)
	if err != nil || lastErr != nil {
		return true
	}
	return id == last+1
}

// start sends the head of the first upstream's response.
func (s *stream) start(resp *direct.Response) {
	copyResponseHeader(s.w.Header(), resp.Header)
	s.closeIfDraining()
	// The length isn't known, as another upstream may continue the stream.
	s.w.Header().Del("Content-Length")
	s.w.WriteHeader(resp.Status)
	s.started = true
	s.firstEvent = time.Since(s.receivedAt)
}

func (s *stream) writeEvent(a *attempt, ev direct.Event) bool {
	if _, err := s.w.Write(ev.Raw); err != nil {
		return false
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return false
	}
	if ev.ID != "" {
		s.lastID = ev.ID
	}
	now := time.Now()
	s.services.recordProgress(now, a.group)
	if s.events > 0 {
		s.recordGap(now, a.group)
	}
	s.events++
	s.lastEventAt = now
	return true
}

// recordGap records the gap before the event that was just sent.
func (s *stream) recordGap(now time.Time, group *groupPool) {
	gap := now.Sub(s.lastEventAt)
	s.metrics.gap.Record(gap)
	if gap > s.longestGap {
		s.longestGap, s.longestGapEnded = gap, now
	}
	s.services.observeGap(now, s.service, group, gap, s.targetGap(), s.fixedPass)
}

// complete ends a complete response.
func (s *stream) complete(buffered *bufferedResponse) {
	if buffered != nil {
		s.writeResponse(buffered)
		return
	}
	s.finish(http.StatusOK, "", nil)
}

// abort ends an incomplete response so that the caller notices: the connection is closed before
// the end of the body.
func (s *stream) abort() {
	if s.lastOutcome == outcomeCallerGone {
		s.finish(http.StatusOK, "caller-gone", nil)
	} else {
		s.cause = "not resumed: " + s.reason
		s.finish(http.StatusOK, reasonStreamBrokenOff, nil)
	}
	panic(http.ErrAbortHandler)
}
