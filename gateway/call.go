package gateway

import (
	"context"
	"errors"
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

// maxBufferedBody bounds the body of a response that is buffered before it is passed on, in
// bytes.
const maxBufferedBody = 16 << 20

// call is one request of a caller.
type call struct {
	*Gateway
	w http.ResponseWriter
	r *http.Request
	// ctx ends when the caller leaves or at the deadline.
	ctx     context.Context
	route   *wire.Route
	service string
	// priority is the rank of the request's priority among those of the service, 0 for the most
	// urgent; nil if all requests of the service have the same one.
	priority *uint32
	// overShare says that the request is beyond its team's share of the service.
	overShare bool
	// waiter is the request's waiter for a permit; nil before newWaiter.
	waiter *waiter
	// group is the group whose permit the request holds.
	group      *groupPool
	team       *wire.KeyedTeam
	params     dialect.Request
	body       []byte
	receivedAt time.Time
	deadline   time.Time
	// warmUntil is how long the call may wait for a gateway that is starting, by the gateway's
	// clock.
	warmUntil time.Time
	history   attemptHistory
	// sent is a copy of history.sent for the watchdog of an attempt.
	sent atomic.Int64
	// retryReserved says that the budget was charged for the next attempt when the previous one
	// was given up.
	retryReserved atomic.Bool
	tried         map[string]bool
	// guard is the request's status in quarantine.
	guard       quarantine.RequestGuard
	lastOutcome outcome
	reason      string
	// cause describes the inputs of a refusal.
	cause    string
	attempts []attemptRecord
	// age is how long ago the caller first sent the request. waited is how long it was queued
	// here.
	age, waited time.Duration
	// fixedPass is the part of a pass of the service's groups that doesn't depend on the running
	// requests.
	fixedPass time.Duration
	// firstEvent is the time to the first event of a stream.
	firstEvent time.Duration
	// longestGap is the longest gap between two events of a stream, and longestGapEnded when the
	// later of the two was sent.
	longestGap      time.Duration
	longestGapEnded time.Time
}

// targetFirstEvent is the route's target for the time to the first event, and targetGap that for
// the gap between two events; 0 if the route has none.
func (c *call) targetFirstEvent() time.Duration {
	return time.Duration(c.route.GetTargetLatencyMs()) * time.Millisecond
}

func (c *call) targetGap() time.Duration {
	return time.Duration(c.route.GetTargetGapMs()) * time.Millisecond
}

// Reasons why a completed stream was late, as logs and metrics show them.
const (
	lateFirstEvent = "first-event"
	latePause      = "pause"
)

// late returns why a completed stream missed the targets of its route; empty if it didn't.
func (c *call) late() string {
	switch {
	case c.targetFirstEvent() > 0 && c.firstEvent > c.targetFirstEvent():
		return lateFirstEvent
	case c.targetGap() > 0 && c.longestGap > c.targetGap():
		return latePause
	}
	return ""
}

// attemptRecord is what the request log shows of one attempt.
type attemptRecord struct {
	upstream string
	outcome  outcome
	status   int
	took     time.Duration
}

// bufferedResponse is a complete response of an upstream.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	// release gives the memory of the body back.
	release func()
}

// discard gives the memory of a response back that isn't passed on; a may be nil.
func (a *bufferedResponse) discard() {
	if a != nil {
		a.release()
	}
}

// attempt is one try of a request at an upstream.
type attempt struct {
	upstream  route.Upstream
	group     *groupPool
	request   *route.Request
	startedAt time.Time
	// ctx ends with the context of the call, or when the attempt is given up.
	ctx      context.Context
	cancel   context.CancelFunc
	watchdog *silenceWatchdog
	// head is what the header of the response says, once it has arrived.
	head   dialect.Answer
	status int
	// cut says that the upstream closed the connection before the end of the response.
	cut bool
}

// beginAttempt chooses an upstream for the next attempt; it returns nil if there is none.
func (c *call) beginAttempt() *attempt {
	upstream, req, ok := c.chooseUpstream()
	if !ok {
		return nil
	}
	a := &attempt{upstream: upstream, group: c.group, request: req, startedAt: time.Now()}
	a.ctx, a.cancel = context.WithCancel(c.ctx)
	a.watchdog = c.watchAttempt(upstream.ID, a.cancel)
	return a
}

// chooseUpstream chooses an upstream that takes a request from this gateway now. One whose limit
// leaves no permit for it is left out.
func (c *call) chooseUpstream() (route.Upstream, *route.Request, bool) {
	req := &route.Request{Exclude: c.tried, Tokens: c.params.PromptTokens + c.params.MaxTokens, MayProbe: c.mayProbe()}
	for c.ctx.Err() == nil {
		upstream, group, ok := c.services.pick(time.Now(), c.group, req)
		if !ok {
			break
		}
		c.group = group
		if c.backpressure.Acquire(c.ctx, upstream.ID) {
			return upstream, req, true
		}
		c.services.unpick(time.Now(), group, upstream, req)
		req = req.Excluding(map[string]bool{upstream.ID: true})
	}
	return route.Upstream{}, nil, false
}

// endAttempt records the outcome of an attempt.
func (c *call) endAttempt(a *attempt, o outcome) {
	a.watchdog.stop()
	a.cancel()
	now := time.Now()
	if c.services.finish(now, a.group, a.upstream, a.request, a.result(o, now)) {
		c.services.silent.observe(a.upstream)
	}
	c.history.record(o)
	c.sent.Store(int64(c.history.sent))
	c.lastOutcome = o
	if c.tried == nil {
		c.tried = map[string]bool{}
	}
	c.tried[a.upstream.ID] = true
	c.attempts = append(c.attempts, attemptRecord{upstream: a.upstream.ID, outcome: o, status: a.status, took: now.Sub(a.startedAt)})
}

// result returns the attempt's outcome for the balancer.
func (a *attempt) result(o outcome, now time.Time) route.Result {
	res := route.Result{Elapsed: now.Sub(a.startedAt)}
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
		res.SilentFor = a.watchdog.silence()
	case outcomeCallerGone:
		res.CallerGone = true
	}
	return res
}

// send calls the attempt's upstream and reads the head of its response.
func (c *call) send(a *attempt, lastEventID string) (*direct.Response, error) {
	header := forwardHeader(c.r.Header)
	c.dialect.SetUpstreamHeader(header, dialect.UpstreamHeader{
		Remaining: time.Until(c.deadline), Instance: a.upstream.ID, Team: c.team.GetName(), LastEventID: lastEventID, Priority: c.priority,
	})
	req := &direct.Request{Method: c.r.Method, URI: c.r.RequestURI, Host: c.r.Host, Header: header, Body: c.body}
	resp, err := c.client.Do(a.ctx, a.upstream.Address, req, func(status int, h http.Header) bool {
		return c.matches(status, h)
	})
	if err != nil {
		return nil, err
	}
	a.head, a.status = c.dialect.ReadAnswer(resp.Status, resp.Header), resp.Status
	a.watchdog.recordProgress()
	c.recordStatements(a)
	now := time.Now()
	c.services.recordHead(now, a.group, a.upstream, a.head.Load, now.Sub(a.startedAt), resp.Status == http.StatusOK)
	if resp.Status != http.StatusMisdirectedRequest {
		c.services.silent.responded(a.upstream.ID)
	}
	if a.head.GroupDown {
		c.services.recordGroupDown(now, a.group)
	}
	return resp, nil
}

// matches reports whether a response is one to this request.
func (c *call) matches(status int, h http.Header) bool {
	return c.dialect.ReadAnswer(status, h).ID == c.params.ID
}

// classifyError returns the outcome of an attempt that got no head, or whose body ended early.
func (c *call) classifyError(a *attempt, err error) outcome {
	a.cut = errors.Is(err, direct.ErrConnectionFailed) || errors.Is(err, direct.ErrPartialEvent)
	switch {
	case errors.Is(err, direct.ErrNotSent) && (c.ctx.Err() == nil || c.aborted()):
		return outcomeNotSent
	case c.r.Context().Err() != nil:
		return outcomeCallerGone
	case c.aborted():
		return outcomeInDoubt
	case c.ctx.Err() != nil:
		return outcomeExpired
	default:
		return outcomeInDoubt
	}
}

// classifyHead returns the outcome that the head of a response stands for.
func (a *attempt) classifyHead(h http.Header) outcome {
	switch {
	case a.status == http.StatusMisdirectedRequest:
		return outcomeMisdirected
	case a.head.NotRun:
		return outcomeNotRun
	case !a.head.FromUpstream || h.Get("Content-Encoding") != "":
		// The response is not from the upstream's program, or was changed on the way.
		return outcomeInDoubt
	default:
		return outcomeAnswered
	}
}

// exchange makes one attempt and reads the whole response.
func (c *call) exchange(a *attempt) (*bufferedResponse, outcome) {
	resp, err := c.send(a, c.params.LastEventID)
	if err != nil {
		return nil, c.classifyError(a, err)
	}
	defer resp.Body.Close()
	return c.readWhole(a, resp)
}

// readWhole reads a response to its end. A truncated response is never passed on as complete, and
// the request may still be retried. One that ends with its connection right after its head is taken as
// truncated: an upstream that stops there closes the connection the same way.
func (c *call) readWhole(a *attempt, resp *direct.Response) (*bufferedResponse, outcome) {
	body, release, err := c.responseMemory.ReadBody(resp.Body, resp.Length, maxBufferedBody)
	o := a.classifyHead(resp.Header)
	switch {
	case err != nil && o.certainlyNotRun():
		return nil, o
	case err != nil:
		return nil, c.classifyError(a, err)
	case o == outcomeAnswered && resp.Unframed && len(body) == 0:
		a.cut = true
		return nil, outcomeInDoubt
	}
	return &bufferedResponse{status: resp.Status, header: resp.Header, body: body, release: release}, o
}

// runAttempts makes attempts until one has served the request or no other may follow. It reports
// whether one has.
func (c *call) runAttempts(once func(*attempt) (o outcome, served bool)) bool {
	for {
		if c.tooLateToSend() {
			c.reason = reasonDraining
			return false
		}
		a := c.beginAttempt()
		if a == nil {
			c.reason = reasonNoUpstream
			if c.r.Context().Err() != nil {
				c.lastOutcome = outcomeCallerGone
			}
			return false
		}
		o, served := once(a)
		switch {
		case o == outcomeAnswered:
			c.recordSuccess()
		case c.mayHaveExited(a, o):
			c.recordCut(a)
		}
		c.endAttempt(a, o)
		if served {
			return true
		}
		if o == outcomeCallerGone || o == outcomeExpired || !c.takeRetry() {
			return false
		}
	}
}

// serveBuffered serves a request whose response is buffered as a whole.
func (c *call) serveBuffered() {
	var buffered *bufferedResponse
	c.runAttempts(func(a *attempt) (outcome, bool) {
		resp, o := c.exchange(a)
		if o != outcomeAnswered {
			resp.discard()
			return o, false
		}
		buffered.discard()
		buffered = resp
		return o, resp.status < http.StatusInternalServerError || !routing.Retryable(c.route)
	})
	if buffered != nil {
		c.writeResponse(buffered)
		return
	}
	c.refuseFailed()
}

// firstEventTimeout returns how long the caller of a stream waits for its first event before it
// leaves. Callers that expect slower streams wait longer; those of services without priorities are
// taken to wait the same time on all routes.
func (c *call) firstEventTimeout() time.Duration {
	if c.priority == nil {
		return firstEventTimeout
	}
	return max(firstEventTimeout, firstEventTargets*c.targetFirstEvent(), firstEventGaps*c.targetGap())
}

// newWaiter returns the waiter of the request with its admission deadlines.
func (c *call) newWaiter() *waiter {
	head := c.services.headTime(c.service)
	c.age = c.timeouts.age(c.receivedAt, c.route, c.params.Deadline)
	c.overShare = c.beyondTeamShare()
	w := &waiter{retried: c.age > 0, overShare: c.overShare, admitted: make(chan struct{}), refused: make(chan struct{})}
	c.waiter = w
	if c.priority != nil {
		w.priority = *c.priority
	}
	w.deadline, w.lastStart = c.deadline, c.deadline.Add(-head)
	w.giveUpAt = c.giveUpTime(head)
	w.hold = w.giveUpAt.Sub(c.receivedAt)
	w.onTimeBy = w.giveUpAt
	if target := c.targetFirstEvent(); target > 0 {
		w.onTimeBy = earlier(w.giveUpAt, c.receivedAt.Add(target-c.age-time.Duration(headTimeFactor*float64(head))))
	}
	return w
}

// giveUpTime returns the latest time at which the request may be admitted, if a response takes the given
// time to its head.
func (c *call) giveUpTime(head time.Duration) time.Time {
	if c.guard.Verdict().Status == quarantine.LastTrial {
		// A request on its last trial is admitted now or not at all; see quarantineRefusal.
		return c.receivedAt
	}
	at := c.deadline.Add(-head)
	if c.route.Kind == wire.RouteKind_ROUTE_KIND_STREAMING {
		at = earlier(at, c.receivedAt.Add(c.firstEventTimeout()-firstEventMargin-head))
	}
	if c.draining.Load() {
		at = earlier(at, time.Now().Add(c.maxQueueTime()))
	}
	return at
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// refuseUnadmitted answers a request that was not admitted.
func (c *call) refuseUnadmitted(a admission) {
	if c.r.Context().Err() != nil {
		c.finish(0, "caller-gone", nil)
		return
	}
	f := refusal{status: http.StatusServiceUnavailable, reason: a.reason, retryAfter: a.retryAfter}
	if c.draining.Load() {
		f = refusal{status: http.StatusServiceUnavailable, reason: reasonDraining, retryAfter: retryAfterDrain}
	}
	c.refuseAndEnd(&f)
}

// takeRetry reports whether another attempt may be made, and charges the retry budget for it.
func (c *call) takeRetry() bool {
	c.reason = reasonUpstreamsBusy
	if !c.history.mayRetry(c.route) || time.Until(c.deadline) <= 0 {
		return false
	}
	if c.aborted() {
		c.reason = reasonDraining
		return false
	}
	if reason, only := c.retryForbidden(); only {
		c.reason = reason
		return false
	}
	// An attempt of which no byte was sent puts no load on an upstream.
	if c.lastOutcome == outcomeNotSent || c.retryReserved.Swap(false) {
		return true
	}
	if !c.retryBudget.Take(c.service) {
		c.reason = reasonRetryBudget
		return false
	}
	return true
}

// writeResponse passes a buffered response on unchanged.
func (c *call) writeResponse(a *bufferedResponse) {
	defer a.release()
	copyResponseHeader(c.w.Header(), a.header)
	c.closeIfDraining()
	c.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	c.w.WriteHeader(a.status)
	_, err := c.w.Write(a.body)
	c.finish(a.status, "", err)
}

// refuseFailed answers a request that no attempt has served.
func (c *call) refuseFailed() {
	if c.lastOutcome == outcomeCallerGone {
		c.finish(0, "caller-gone", nil)
		return
	}
	f := c.history.failure(c.lastOutcome, c.reason)
	switch {
	case f.status != http.StatusServiceUnavailable:
	case f.reason == reasonDraining:
		f.retryAfter = retryAfterDrain
	default:
		c.setRetryAfter(&f)
	}
	c.refuseAndEnd(&f)
}

// setRetryAfter sets the Retry-After of a request that has run nowhere, if its service takes none now.
func (c *call) setRetryAfter(f *refusal) {
	if wait, held := c.services.retryAfterHeld(c.service); held {
		f.reason, f.retryAfter = reasonUpstreamsHeld, wait
	} else if wait, cause, down := c.services.retryAfterOutage(time.Now(), c.service, c.waiter); down {
		f.retryAfter, c.cause = wait, cause
	}
}
