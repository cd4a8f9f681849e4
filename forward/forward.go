// Package forward forwards a request to upstreams: it selects an upstream for each
// attempt, decides on retries, validates responses and determines the outcome of the
// request.
package forward

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/route"
	"github.com/snipereach/snipereach/table"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

var (
	// ErrInvalidResponse means that a response is malformed, too large or belongs to
	// another attempt.
	ErrInvalidResponse = merry.Sentinel("response is invalid")
	// ErrCallerGone means that the response could not be written to the caller.
	ErrCallerGone = merry.Sentinel("caller disconnected")
)

const (
	// maxAttempts bounds the attempts of a request, without reroutes, regardless of the
	// retry budget.
	maxAttempts = 4
	// maxReroutes bounds how often a request is rerouted because an upstream had no free
	// slot. A reroute is not a retry: nothing has failed or been executed.
	maxReroutes = 3
)

// Call is a request to be forwarded.
type Call struct {
	Head     *wire.RunHead
	Body     []byte
	Pool     *table.Pool
	Route    *route.Request
	Deadline time.Time
	// MaxResponseBytes bounds the body of an unstreamed response in bytes.
	MaxResponseBytes int64
	// Guard guards and observes the request's attempts; it may be nil.
	Guard AttemptGuard

	// mayReroute allows the agent of the next attempt to refuse it if it has no free slot.
	mayReroute bool
	// queuesFull is true if the call last tried to wait for a slot and all queues were full.
	queuesFull bool
	// reservation is the slot reserved for the next attempt; nil if there is none.
	reservation *queuedTicket
}

// AttemptGuard limits the attempts of a request and observes the upstreams that crash while they
// run it.
type AttemptGuard interface {
	// MaySend reports whether the request may be sent to an upstream now, given the number
	// of earlier attempts that may have run.
	MaySend(ran int) bool
	// UpstreamEnded records that an upstream ended after it had run the request for the given
	// time. incarnation is the agent's identifier of the upstream instance that ended.
	UpstreamEnded(upstream route.Upstream, incarnation string, ran time.Duration)
}

// Sink receives a response. The body of an unstreamed response is passed in a single
// Write once it is complete.
type Sink interface {
	Begin(h *wire.RunReplyHead) error
	Write(body []byte) error
}

// Result is the result of a Call.
type Result struct {
	Outcome wire.Outcome
	// Reason is 0 if the response is complete.
	Reason wire.Reason
	Detail string
	// StreamBegun is true once the head of a streamed response has been passed to the sink. If
	// Reason is set, the caller must then get a truncated response, not a refusal.
	StreamBegun bool
	// Attempts holds the attempts that failed, in order.
	Attempts []*wire.RefusedAttempt
}

// Forwarder forwards the requests of one entry. It is safe for concurrent use.
type Forwarder struct {
	pool  *transport.Pool
	entry route.EntryInfo
	now   func() time.Time

	mu sync.Mutex
	// balancers holds the balancers by pool name.
	balancers map[string]*poolBalancer
}

// poolBalancer is the balancer of a pool with its plug-in name, retry budget and
// upstreams.
type poolBalancer struct {
	route.Balancer
	plugin string
	budget *RetryBudget
	ups    []route.Upstream
}

// New creates a forwarder for an entry, with the clock now.
func New(pool *transport.Pool, entry route.EntryInfo, now func() time.Time) *Forwarder {
	return &Forwarder{pool: pool, entry: entry, now: now, balancers: map[string]*poolBalancer{}}
}

// Update sets the upstreams of a pool that are up.
func (f *Forwarder) Update(p *table.Pool, ups []route.Upstream) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	b, err := f.balancerFor(p)
	if err != nil {
		return err
	}
	b.ups = ups
	b.SetUpstreams(f.now(), ups)
	return nil
}

// balancerFor returns the balancer of a pool. It replaces the balancer if the pool's row
// names another plug-in. The caller must hold mu.
func (f *Forwarder) balancerFor(p *table.Pool) (*poolBalancer, error) {
	b := f.balancers[p.Name]
	if b != nil && b.plugin == p.Route {
		b.budget.SetRatio(float64(p.RetryPercent) / 100)
		return b, nil
	}
	created, err := route.New(p.Route, f.entry)
	if err != nil {
		return nil, err
	}
	next := &poolBalancer{Balancer: created, plugin: p.Route, budget: NewRetryBudget(float64(p.RetryPercent) / 100)}
	if b != nil {
		next.ups = b.ups
		next.SetUpstreams(f.now(), b.ups)
	}
	f.balancers[p.Name] = next
	return next, nil
}

// Report passes a load report and its cache events to all balancers.
func (f *Forwarder) Report(r *wire.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	for _, b := range f.balancers {
		b.ApplyLoadReport(now, r.Upstream, r.Incarnation, r.Load)
		if len(r.Cache) > 0 {
			b.ApplyCacheEvents(now, r.Upstream, r.Incarnation, r.Cache)
		}
	}
}

// poolDump is the state of a pool as shown to operators.
type poolDump struct {
	Plugin    string                `json:"plugin"`
	Upstreams []route.UpstreamState `json:"upstreams,omitempty"`
}

// Dump returns the state of the balancers by pool name, for JSON encoding.
func (f *Forwarder) Dump() any {
	f.mu.Lock()
	defer f.mu.Unlock()
	pools := make(map[string]poolDump, len(f.balancers))
	for name, b := range f.balancers {
		d := poolDump{Plugin: b.plugin}
		if dumper, ok := b.Balancer.(route.Dumper); ok {
			d.Upstreams = dumper.Dump(f.now())
		}
		pools[name] = d
	}
	return pools
}

// Do makes attempts until one succeeds or no further one is allowed.
func (f *Forwarder) Do(ctx context.Context, c *Call, sink Sink) Result {
	var res Result
	reroutes := 0
	for n := 1; ; n++ {
		if c.Guard != nil && !c.Guard.MaySend(res.possibleRuns()) {
			res.Outcome = overallOutcome(res)
			if res.possibleRuns() == 0 {
				res.Reason, res.Outcome = wire.Reason_REASON_QUARANTINED, wire.Outcome_OUTCOME_NOT_RUN
			}
			return res
		}
		c.mayReroute = reroutes < maxReroutes && !c.queuesFull && len(c.Body) <= transport.BodyFrame
		up, end := f.attempt(ctx, c, sink, n)
		res.Outcome, res.Reason, res.Detail, res.StreamBegun = end.outcome, end.reason, end.detail, end.begun
		if end.reason == 0 {
			return res
		}
		if up.ID != "" {
			res.Attempts = append(res.Attempts, &wire.RefusedAttempt{
				Upstream: up.ID, Outcome: end.outcome, Reason: end.reason, Detail: end.detail,
			})
		}
		if end.endedUpstream != "" && c.Guard != nil {
			c.Guard.UpstreamEnded(up, end.endedUpstream, end.took)
		}
		if end.noSlot && c.mayReroute && f.beforeDeadline(ctx, c) {
			reroutes++
			// If all queues are full, one more attempt without rerouting lets the
			// selected upstream queue or refuse the request itself.
			c.queuesFull = !f.waitForSlot(ctx, c, n)
			if f.beforeDeadline(ctx, c) {
				continue
			}
			res.Reason, res.Detail = wire.Reason_REASON_DEADLINE, "no slot became free before the deadline"
			res.Outcome = overallOutcome(res)
			return res
		}
		c.exclude(up.ID)
		if !f.mayRetry(ctx, c, end, n-reroutes) {
			res.Outcome = overallOutcome(res)
			return res
		}
	}
}

// possibleRuns returns the number of attempts that may have been executed.
func (r *Result) possibleRuns() (n int) {
	for _, a := range r.Attempts {
		if a.Outcome != wire.Outcome_OUTCOME_NOT_RUN {
			n++
		}
	}
	return n
}

func (f *Forwarder) beforeDeadline(ctx context.Context, c *Call) bool {
	return ctx.Err() == nil && f.now().Before(c.Deadline)
}

func (c *Call) exclude(upstream string) {
	if c.Route.Exclude == nil {
		c.Route.Exclude = map[string]bool{}
	}
	c.Route.Exclude[upstream] = true
}

// overallOutcome returns the outcome of a request: that of the last attempt, but
// "unknown" if any failed attempt may have been executed.
func overallOutcome(res Result) wire.Outcome {
	for _, a := range res.Attempts {
		if a.Outcome != wire.Outcome_OUTCOME_NOT_RUN {
			return wire.Outcome_OUTCOME_UNKNOWN
		}
	}
	return res.Outcome
}

// mayRetry reports whether the request may be retried after its n-th attempt, not
// counting reroutes. It takes a token from the retry budget if the retry needs one.
func (f *Forwarder) mayRetry(ctx context.Context, c *Call, e attemptResult, n int) bool {
	if e.begun || e.final || n >= maxAttempts || !f.beforeDeadline(ctx, c) {
		return false
	}
	// A request that is not idempotent may only be retried if it was certainly not
	// executed.
	if e.outcome != wire.Outcome_OUTCOME_NOT_RUN && !c.Head.Idempotent {
		return false
	}
	// The budget keeps retries from multiplying the load. Attempts that put no load on
	// an upstream don't count, so that a dead or leaving agent doesn't use it up while
	// other upstreams are available.
	if e.causedNoLoad() {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.balancers[c.Pool.Name]
	return b != nil && b.budget.TakeRetry()
}

// attemptResult describes how an attempt ended.
type attemptResult struct {
	outcome wire.Outcome
	// reason is 0 if the response is complete.
	reason wire.Reason
	detail string
	// begun is true once the sink has been called with part of a response that is not
	// known to be complete.
	begun bool
	// final is true if a retry is pointless.
	final bool
	// streamEnded is true if the agent has properly ended the response, so that nothing
	// follows on the stream.
	streamEnded bool
	// unreached is true if no agent received any of the request.
	unreached bool
	// noSlot is true if the agent refused the attempt because it had no slot for it.
	noSlot bool
	load   *wire.Load
	// endedUpstream is the agent's identifier of the upstream instance that ended during
	// the attempt; empty if none did.
	endedUpstream string
	// took is the duration of the attempt.
	took time.Duration
}

// causedNoLoad reports whether the attempt put no load on any upstream: no agent was
// reached, or one refused it because the upstream is leaving or has been replaced by
// another incarnation.
func (e attemptResult) causedNoLoad() bool {
	if e.unreached {
		return true
	}
	gone := e.reason == wire.Reason_REASON_UPSTREAM_LEAVING || e.reason == wire.Reason_REASON_NO_UPSTREAM
	return gone && e.outcome == wire.Outcome_OUTCOME_NOT_RUN
}

// attempt makes the n-th attempt, counted from 1 and including reroutes. The upstream is
// the zero value if none was available.
func (f *Forwarder) attempt(ctx context.Context, c *Call, sink Sink, n int) (route.Upstream, attemptResult) {
	choice, ticket, err := f.chooseUpstream(c, n)
	up := choice.Upstream
	if err != nil {
		return up, attemptResult{
			outcome: wire.Outcome_OUTCOME_NOT_RUN, reason: wire.Reason_REASON_NO_UPSTREAM,
			detail: err.Error(), final: true,
		}
	}
	began := f.now()
	head := attemptHead(c, choice, n, began)
	head.Ticket = ticket
	e := f.exchange(ctx, up, head, c, sink)
	e.noSlot, e.took = refusedForSlot(head, e), f.now().Sub(began)
	f.reportDone(ctx, c, up, e, began)
	return up, e
}

// refusedForSlot reports whether an agent refused an attempt because it had no free slot
// or no longer held the reserved one. The attempt may then be rerouted.
func refusedForSlot(h *wire.RunHead, e attemptResult) bool {
	if e.reason != wire.Reason_REASON_QUEUE_FULL || e.outcome != wire.Outcome_OUTCOME_NOT_RUN {
		return false
	}
	return h.NoWait || h.Ticket != ""
}

// attemptHead returns the head of the n-th attempt.
func attemptHead(c *Call, up route.Choice, n int, now time.Time) *wire.RunHead {
	h := c.Head
	head := &wire.RunHead{
		RequestId: h.RequestId, AttemptId: h.RequestId + "." + strconv.Itoa(n),
		Team: h.Team, Service: h.Service, Priority: h.Priority, Weight: h.Weight,
		TimeoutUs: c.Deadline.Sub(now).Microseconds(), Idempotent: h.Idempotent,
		Method: h.Method, Path: h.Path, Headers: h.Headers, Tokens: h.Tokens,
		Incarnation: up.Incarnation,
	}
	head.NoWait = up.NoWait && c.mayReroute
	return head
}

var errNoUpstream = merry.Sentinel("no upstream is available")

// chooseUpstream returns the upstream that holds a reserved slot for the call and the
// slot's ticket, or else an upstream picked by the balancer.
func (f *Forwarder) chooseUpstream(c *Call, n int) (choice route.Choice, ticket string, err error) {
	if reserved := c.reservation; reserved != nil {
		c.reservation = nil
		return route.Choice{Upstream: reserved.up}, reserved.ticket, nil
	}
	choice, err = f.pick(c, n)
	return choice, "", err
}

// pick picks an upstream for the n-th attempt and counts the first one in the retry
// budget.
func (f *Forwarder) pick(c *Call, n int) (route.Choice, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b, err := f.balancerFor(c.Pool)
	if err != nil {
		return route.Choice{}, err
	}
	if n == 1 {
		b.budget.RecordRequest()
	}
	choice, ok := b.Pick(f.now(), c.Route)
	if !ok {
		return route.Choice{}, errNoUpstream
	}
	return choice, nil
}

// reportDone reports the end of an attempt to the balancer.
func (f *Forwarder) reportDone(ctx context.Context, c *Call, up route.Upstream, e attemptResult, began time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if b := f.balancers[c.Pool.Name]; b != nil {
		b.Done(now, up, c.Route, route.Result{
			Outcome: e.outcome, Reason: e.reason, Load: e.load, Elapsed: now.Sub(began),
			CallerGone: e.final || errors.Is(ctx.Err(), context.Canceled),
		})
	}
}

// exchange sends the request to an agent over DRPC and reads the response.
func (f *Forwarder) exchange(ctx context.Context, up route.Upstream, head *wire.RunHead, c *Call, sink Sink) attemptResult {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	stream, err := f.openStream(ctx, up.Address)
	if err != nil {
		e := notRunResult(wire.Reason_REASON_UPSTREAM_FAILED, err)
		e.unreached = true
		return e
	}
	defer stream.Close()
	if complete, err := sendRequest(stream, head, c.Body); err != nil {
		if complete {
			return unknownResult(ctx, err)
		}
		return notRunResult(wire.Reason_REASON_UPSTREAM_FAILED, err)
	}
	rd := &responseReader{stream: stream, head: head, sink: sink, maxBody: c.MaxResponseBytes}
	e := rd.read(ctx)
	if e.reason != 0 && !e.streamEnded {
		// Cancelling the call keeps the rest of the response from reaching the next
		// call on the connection.
		cancel()
	}
	return e
}

// openStream opens a Run stream. On a pooled connection that is being closed because its
// last call was cancelled, that fails although the agent is up. As nothing has been sent
// then, it is tried once more, on another connection.
func (f *Forwarder) openStream(ctx context.Context, addr string) (wire.DRPCAgent_RunClient, error) {
	stream, err := wire.NewDRPCAgentClient(f.pool.BufferedConn(ctx, addr)).Run(ctx)
	if err != nil && ctx.Err() == nil {
		return wire.NewDRPCAgentClient(f.pool.BufferedConn(ctx, addr)).Run(ctx)
	}
	return stream, err
}

// sendRequest sends the request and closes the sending side of the stream. complete is
// true if the last frame may have been sent; the agent executes nothing before it has
// received that.
func sendRequest(stream wire.DRPCAgent_RunClient, head *wire.RunHead, body []byte) (complete bool, err error) {
	frame := &wire.RunFrame{Head: head}
	for {
		n := min(len(body), transport.BodyFrame)
		frame.Body, body = body[:n], body[n:]
		frame.Last = len(body) == 0
		if err := stream.Send(frame); err != nil {
			return frame.Last, err
		}
		if frame.Last {
			return true, stream.CloseSend()
		}
		frame = &wire.RunFrame{}
	}
}

// notRunResult is the result of an attempt that was certainly not executed.
func notRunResult(r wire.Reason, err error) attemptResult {
	return attemptResult{outcome: wire.Outcome_OUTCOME_NOT_RUN, reason: r, detail: err.Error()}
}

// unknownResult is the result of an attempt that may have been executed.
func unknownResult(ctx context.Context, err error) attemptResult {
	reason := wire.Reason_REASON_UPSTREAM_FAILED
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason = wire.Reason_REASON_DEADLINE
	}
	return attemptResult{outcome: wire.Outcome_OUTCOME_UNKNOWN, reason: reason, detail: err.Error()}
}
