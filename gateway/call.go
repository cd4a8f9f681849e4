package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/snipereach/snipereach/dialect"
	"github.com/snipereach/snipereach/direct"
	"github.com/snipereach/snipereach/quarantine"
	"github.com/snipereach/snipereach/route"
	"github.com/snipereach/snipereach/routing"
	"github.com/snipereach/snipereach/wire"
)

// maxAnswer bounds a whole answer that is held before it is passed on.
const maxAnswer = 16 << 20

// call is one request of a caller on its way.
type call struct {
	*Gateway
	w http.ResponseWriter
	r *http.Request
	// ctx ends when the caller leaves or the time is over.
	ctx     context.Context
	route   *wire.Route
	service string
	// at is the group at which it has its place.
	at       *groupPool
	team     *wire.KeyedTeam
	asked    dialect.Request
	body     []byte
	began    time.Time
	deadline time.Time
	// warmUntil is how long it may wait for a gateway that starts, by the gateway's
	// clock.
	warmUntil time.Time
	history   history
	// sent is history.sent for the watch of an attempt.
	sent atomic.Int64
	// paid says that the next attempt was taken from the budget when the one before
	// was given up.
	paid  atomic.Bool
	tried map[string]bool
	// trial is what is held against the request.
	trial  quarantine.Trial
	last   outcome
	reason string
	// why are the inputs of a decision to refuse.
	why      string
	attempts []attemptNote
	// age is how long ago the caller sent the request first, and waited how long it
	// waited here for its turn.
	age, waited time.Duration
	// fixedPass is the part of a pass of its service's groups that doesn't depend on what they run.
	fixedPass time.Duration
	// firstEvent is the time to the first event of a stream.
	firstEvent time.Duration
	// longestPause is the longest between two events of a stream, and pauseEnded when
	// the later of the two left.
	longestPause time.Duration
	pauseEnded   time.Time
}

// contentFirst is the time to a first event, and contentPause the pause between two
// events, that callers are content with; 0 if the route tells none.
func (c *call) contentFirst() time.Duration {
	return time.Duration(c.route.GetTargetLatencyMs()) * time.Millisecond
}

func (c *call) contentPause() time.Duration {
	return time.Duration(c.route.GetTargetGapMs()) * time.Millisecond
}

// Why an answered stream was late.
const (
	lateFirstEvent = "first-event"
	latePause      = "pause"
)

// late says why a stream that was answered came later than callers are content with;
// empty if it didn't.
func (c *call) late() string {
	switch {
	case c.contentFirst() > 0 && c.firstEvent > c.contentFirst():
		return lateFirstEvent
	case c.contentPause() > 0 && c.longestPause > c.contentPause():
		return latePause
	}
	return ""
}

// attemptNote is what a log line says of one attempt.
type attemptNote struct {
	upstream string
	outcome  outcome
	status   int
	took     time.Duration
}

// answer is a whole answer of an upstream.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// attempt is one send of a request.
type attempt struct {
	up    route.Upstream
	at    *groupPool
	req   *route.Request
	began time.Time
	// ctx ends with the request's, or when the attempt is given up.
	ctx    context.Context
	cancel context.CancelFunc
	watch  *attemptWatch
	// head is what the answer's header said, once there was one.
	head   dialect.Answer
	status int
	// broken says that the upstream ended the connection before a whole answer.
	broken bool
}

// begin chooses an upstream for the next attempt; nil if there is none.
func (c *call) begin() *attempt {
	req := &route.Request{Exclude: c.tried, Tokens: c.asked.PromptTokens + c.asked.MaxTokens}
	now := time.Now()
	up, at, ok := c.fleet.pick(now, c.at, req)
	if !ok {
		return nil
	}
	c.at = at
	a := &attempt{up: up, at: at, req: req, began: now}
	a.ctx, a.cancel = context.WithCancel(c.ctx)
	a.watch = c.watchAttempt(up.ID, a.cancel)
	return a
}

// end notes the outcome of an attempt.
func (c *call) end(a *attempt, o outcome) {
	a.watch.stop()
	a.cancel()
	now := time.Now()
	c.fleet.done(now, a.at, a.up, a.req, a.result(o, now))
	c.history.note(o)
	c.sent.Store(int64(c.history.sent))
	c.last = o
	if c.tried == nil {
		c.tried = map[string]bool{}
	}
	c.tried[a.up.ID] = true
	c.attempts = append(c.attempts, attemptNote{upstream: a.up.ID, outcome: o, status: a.status, took: now.Sub(a.began)})
}

// result tells the balancer how an attempt ended.
func (a *attempt) result(o outcome, now time.Time) route.Result {
	res := route.Result{Elapsed: now.Sub(a.began)}
	switch o {
	case outcomeAnswered:
		res.Outcome = wire.Outcome_OUTCOME_DONE
		if a.status >= http.StatusInternalServerError {
			res.Outcome, res.Reason = wire.Outcome_OUTCOME_UNKNOWN, wire.Reason_REASON_UPSTREAM_FAILED
		}
	case outcomeNotRun:
		res.Outcome, res.Reason = wire.Outcome_OUTCOME_NOT_RUN, wire.Reason_REASON_QUEUE_FULL
	case outcomeMisdirected:
		res.Outcome, res.Reason = wire.Outcome_OUTCOME_NOT_RUN, wire.Reason_REASON_UPSTREAM_LEAVING
	case outcomeNotSent, outcomeInDoubt:
		res.Reason = wire.Reason_REASON_UPSTREAM_FAILED
	case outcomeCallerGone:
		res.CallerGone = true
	}
	return res
}

// send calls the attempt's upstream and reads the head of its answer.
func (c *call) send(a *attempt, lastEventID string) (*direct.Response, error) {
	header := forwardHeader(c.r.Header)
	c.dialect.SetSend(header, dialect.Send{
		Left: time.Until(c.deadline), Instance: a.up.ID, Team: c.team.GetName(), LastEventID: lastEventID,
	})
	req := &direct.Request{Method: c.r.Method, URI: c.r.RequestURI, Host: c.r.Host, Header: header, Body: c.body}
	resp, err := c.client.Do(a.ctx, a.up.Address, req, func(status int, h http.Header) bool {
		return c.belongs(status, h)
	})
	if err != nil {
		return nil, err
	}
	a.head, a.status = c.dialect.ReadAnswer(resp.Status, resp.Header), resp.Status
	a.watch.hear()
	now := time.Now()
	c.fleet.answered(now, a.at, a.up, a.head.Load, now.Sub(a.began), resp.Status == http.StatusOK)
	if a.head.GroupDown {
		c.fleet.refusedByGroup(now, a.at)
	}
	return resp, nil
}

// belongs says whether an answer is one to this request.
func (c *call) belongs(status int, h http.Header) bool {
	return c.dialect.ReadAnswer(status, h).ID == c.asked.ID
}

// failed classifies an attempt that brought no head, or whose body broke off.
func (c *call) failed(a *attempt, err error) outcome {
	a.broken = errors.Is(err, direct.ErrBroken) || errors.Is(err, direct.ErrPartialEvent)
	switch {
	case errors.Is(err, direct.ErrNotSent) && c.ctx.Err() == nil:
		return outcomeNotSent
	case c.r.Context().Err() != nil:
		return outcomeCallerGone
	case c.ctx.Err() != nil:
		return outcomeExpired
	default:
		return outcomeInDoubt
	}
}

// classify says what an answer's head means for the request.
func (a *attempt) classify(h http.Header) outcome {
	switch {
	case a.status == http.StatusMisdirectedRequest:
		return outcomeMisdirected
	case a.head.NotRun:
		return outcomeNotRun
	case !a.head.Signed || h.Get("Content-Encoding") != "":
		// Not the answer of the upstream's program, or not as it gave it.
		return outcomeInDoubt
	default:
		return outcomeAnswered
	}
}

// exchange makes one attempt and reads its answer whole.
func (c *call) exchange(a *attempt) (*answer, outcome) {
	resp, err := c.send(a, c.asked.LastEventID)
	if err != nil {
		return nil, c.failed(a, err)
	}
	defer resp.Body.Close()
	return c.readWhole(a, resp)
}

// readWhole reads an answer to its end. Half of one must never look complete, and a
// request whose answer broke off may still be tried elsewhere.
func (c *call) readWhole(a *attempt, resp *direct.Response) (*answer, outcome) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	o := a.classify(resp.Header)
	if err == nil && len(body) <= maxAnswer {
		return &answer{status: resp.Status, header: resp.Header, body: body}, o
	}
	if o.ranNothing() {
		return nil, o
	}
	return nil, c.failed(a, err)
}

// eachAttempt makes one attempt after the other until one has served the request, or
// none may follow; it says whether one has.
func (c *call) eachAttempt(once func(*attempt) (o outcome, served bool)) bool {
	for {
		a := c.begin()
		if a == nil {
			c.reason = reasonNoUpstream
			return false
		}
		o, served := once(a)
		switch {
		case o == outcomeAnswered:
			c.answeredWhole()
		case c.looksEnded(a, o):
			c.noteCut(a)
		}
		c.end(a, o)
		if served {
			return true
		}
		if o == outcomeCallerGone || o == outcomeExpired || !c.retry() {
			return false
		}
	}
}

// servePlain answers a request that has one whole answer.
func (c *call) servePlain() {
	var held *answer
	c.eachAttempt(func(a *attempt) (outcome, bool) {
		ans, o := c.exchange(a)
		if o != outcomeAnswered {
			return o, false
		}
		held = ans
		return o, ans.status < http.StatusInternalServerError || !routing.Repeatable(c.route)
	})
	if held != nil {
		c.deliver(held)
		return
	}
	c.fail()
}

// waiter is how the request waits for its turn.
func (c *call) waiter() *waiter {
	head := c.fleet.head(c.service)
	c.age = c.times.age(c.began, c.route, c.asked.Deadline)
	w := &waiter{returned: c.age > 0, granted: make(chan struct{})}
	w.until = c.deadline.Add(-head)
	if c.route.Kind == wire.RouteKind_ROUTE_KIND_STREAMING {
		if leaves := c.began.Add(callerPatience - patienceMargin - head); leaves.Before(w.until) {
			w.until = leaves
		}
	}
	if c.draining.Load() {
		if ends := time.Now().Add(c.mayWait()); ends.Before(w.until) {
			w.until = ends
		}
	}
	if c.trial.Verdict().Standing == quarantine.LastTrial {
		// It is let in now or not at all: see heldBack.
		w.until = c.began
	}
	w.inTime = w.until
	if content := c.contentFirst(); content > 0 {
		w.inTime = c.began.Add(content - c.age - time.Duration(headSpread*float64(head)))
	}
	if w.until.Before(w.inTime) {
		w.inTime = w.until
	}
	return w
}

// turnedAway answers a request that found no place.
func (c *call) turnedAway(wait time.Duration) {
	if c.r.Context().Err() != nil {
		c.done(0, "caller-gone", nil)
		return
	}
	f := refusal{status: http.StatusServiceUnavailable, reason: reasonBusy, wait: wait}
	if c.draining.Load() {
		f = refusal{status: http.StatusServiceUnavailable, reason: reasonDraining, wait: drainWait}
	}
	c.turnDown(&f)
}

// retry says whether another attempt is made.
func (c *call) retry() bool {
	c.reason = reasonBusy
	if !c.history.mayTry(c.route) || time.Until(c.deadline) <= 0 {
		return false
	}
	if reason, only := c.oneAttempt(); only {
		c.reason = reason
		return false
	}
	// An attempt that never left is no arrival at an upstream.
	if c.last == outcomeNotSent || c.paid.Swap(false) {
		return true
	}
	if !c.budgets.take(c.service) {
		c.reason = reasonRetryBudget
		return false
	}
	return true
}

// deliver passes a whole answer on unchanged.
func (c *call) deliver(a *answer) {
	copyAnswerHeader(c.w.Header(), a.header)
	c.closeIfLeaving()
	c.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	c.w.WriteHeader(a.status)
	_, err := c.w.Write(a.body)
	c.done(a.status, "", err)
}

// fail ends a request that was not answered.
func (c *call) fail() {
	if c.last == outcomeCallerGone {
		c.done(0, "caller-gone", nil)
		return
	}
	f := c.history.failure(c.last, c.reason)
	c.turnDown(&f)
}
