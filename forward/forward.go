// Package forward carries one request through its attempts: which upstream,
// whether to try again, when an answer is whole, and what may be said of the
// outcome.
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

// Errors of this layer.
var (
	// ErrInvalidAnswer is a late, crossed, cut, oversized or malformed answer.
	ErrInvalidAnswer = merry.Sentinel("answer is invalid")
	// ErrCallerGone says that the answer could not be written to the caller.
	ErrCallerGone = merry.Sentinel("caller is gone")
)

const (
	// maxAttempts bounds the attempts of one request, whatever the budget.
	maxAttempts = 4
	// maxMoves bounds how often a request moves on because an upstream had no free
	// slot after all. A move is no retry: nothing failed, and nothing ran.
	maxMoves = 3
)

// Call is one request.
type Call struct {
	Head     *wire.RunHead
	Body     []byte
	Pool     *table.Pool
	Route    *route.Request
	Deadline time.Time
	// MaxAnswer bounds an unstreamed answer, in bytes.
	MaxAnswer int64
	// Trial follows the request's attempts; nil is nobody.
	Trial Trial

	// mayMove lets an agent refuse the next attempt if it has no free slot.
	mayMove bool
	// mustQueue says that no queue had a place for a ticket.
	mustQueue bool
	// slot is held for the next attempt; nil if none is.
	slot *slot
}

// Trial follows what a request does to upstreams.
type Trial interface {
	// MaySend says whether the request may be sent to an upstream now, after some attempts that
	// may have run.
	MaySend(ran int) bool
	// Ended takes that an upstream ended while it ran the request, for a time. The life is the
	// agent's name of what ended.
	Ended(upstream route.Upstream, life string, ran time.Duration)
}

// Sink takes an answer. An unstreamed answer reaches it whole, in one Write.
type Sink interface {
	Begin(h *wire.RunReplyHead) error
	Write(body []byte) error
}

// Result is what became of a call.
type Result struct {
	Outcome wire.Outcome
	// Reason is zero when the answer is whole.
	Reason wire.Reason
	Detail string
	// Begun says that part of a streamed answer has reached the sink: the
	// caller must be shown a cut, not a refusal.
	Begun    bool
	Attempts []*wire.RefusedAttempt
}

// Forwarder makes attempts for one entry.
type Forwarder struct {
	pool  *transport.Pool
	place route.Place
	now   func() time.Time

	mu        sync.Mutex
	balancers map[string]*balancer
}

type balancer struct {
	route.Balancer
	plugin string
	budget *Budget
	ups    []route.Upstream
}

// New makes a forwarder.
func New(pool *transport.Pool, place route.Place, now func() time.Time) *Forwarder {
	return &Forwarder{pool: pool, place: place, now: now, balancers: map[string]*balancer{}}
}

// Update sets the upstreams of a pool that are up.
func (f *Forwarder) Update(p *table.Pool, ups []route.Upstream) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	b, err := f.balancer(p)
	if err != nil {
		return err
	}
	b.ups = ups
	b.Update(f.now(), ups)
	return nil
}

// balancer returns a pool's balancer and makes it anew when its row names
// another plug-in. The caller holds mu.
func (f *Forwarder) balancer(p *table.Pool) (*balancer, error) {
	b := f.balancers[p.Name]
	if b != nil && b.plugin == p.Route {
		b.budget.Configure(float64(p.RetryPercent) / 100)
		return b, nil
	}
	made, err := route.New(p.Route, f.place)
	if err != nil {
		return nil, err
	}
	next := &balancer{Balancer: made, plugin: p.Route, budget: NewBudget(float64(p.RetryPercent) / 100)}
	if b != nil {
		next.ups = b.ups
		next.Update(f.now(), b.ups)
	}
	f.balancers[p.Name] = next
	return next, nil
}

// Report hands a load report and cache events to the balancers.
func (f *Forwarder) Report(r *wire.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	for _, b := range f.balancers {
		b.Report(now, r.Upstream, r.Incarnation, r.Load)
		if len(r.Cache) > 0 {
			b.Cache(now, r.Upstream, r.Incarnation, r.Cache)
		}
	}
}

// poolDump is what is known of a pool, for operators.
type poolDump struct {
	Plugin    string                `json:"plugin"`
	Upstreams []route.UpstreamState `json:"upstreams,omitempty"`
}

// Dump returns what the balancers know, by pool.
func (f *Forwarder) Dump() any {
	f.mu.Lock()
	defer f.mu.Unlock()
	pools := make(map[string]poolDump, len(f.balancers))
	for name, b := range f.balancers {
		d := poolDump{Plugin: b.plugin}
		if shown, ok := b.Balancer.(route.Dumper); ok {
			d.Upstreams = shown.Dump(f.now())
		}
		pools[name] = d
	}
	return pools
}

// Do makes attempts until one is answered, or no more may be made.
func (f *Forwarder) Do(ctx context.Context, c *Call, sink Sink) Result {
	var res Result
	moves := 0
	for n := 1; ; n++ {
		if c.Trial != nil && !c.Trial.MaySend(res.ran()) {
			res.Outcome = worst(res)
			if res.ran() == 0 {
				res.Reason, res.Outcome = wire.Reason_REASON_QUARANTINED, wire.Outcome_OUTCOME_NOT_RUN
			}
			return res
		}
		c.mayMove = moves < maxMoves && !c.mustQueue && len(c.Body) <= transport.BodyFrame
		up, end := f.attempt(ctx, c, sink, n)
		res.Outcome, res.Reason, res.Detail, res.Begun = end.outcome, end.reason, end.detail, end.begun
		if end.reason == 0 {
			return res
		}
		if up.ID != "" {
			res.Attempts = append(res.Attempts, &wire.RefusedAttempt{
				Upstream: up.ID, Outcome: end.outcome, Reason: end.reason, Detail: end.detail,
			})
		}
		if end.upstreamLife != "" && c.Trial != nil {
			c.Trial.Ended(up, end.upstreamLife, end.took)
		}
		if end.move && c.mayMove && f.inTime(ctx, c) {
			moves++
			// Where all queues are full, what is left is to ask one upstream once
			// more: it refuses by its row's bound and says so.
			c.mustQueue = !f.wait(ctx, c, n)
			if f.inTime(ctx, c) {
				continue
			}
			res.Reason, res.Detail = wire.Reason_REASON_DEADLINE, "no slot became free in time"
			res.Outcome = worst(res)
			return res
		}
		c.exclude(up.ID)
		if !f.again(ctx, c, end, n-moves) {
			res.Outcome = worst(res)
			return res
		}
	}
}

// ran counts the attempts that may have run.
func (r *Result) ran() (n int) {
	for _, a := range r.Attempts {
		if a.Outcome != wire.Outcome_OUTCOME_NOT_RUN {
			n++
		}
	}
	return n
}

func (f *Forwarder) inTime(ctx context.Context, c *Call) bool {
	return ctx.Err() == nil && f.now().Before(c.Deadline)
}

func (c *Call) exclude(upstream string) {
	if c.Route.Exclude == nil {
		c.Route.Exclude = map[string]bool{}
	}
	c.Route.Exclude[upstream] = true
}

// worst is the outcome of a whole request: "not run" only if no attempt may
// have run. An idempotent request whose first attempt is in doubt and whose
// second was certainly not run is in doubt.
func worst(res Result) wire.Outcome {
	for _, a := range res.Attempts {
		if a.Outcome != wire.Outcome_OUTCOME_NOT_RUN {
			return wire.Outcome_OUTCOME_UNKNOWN
		}
	}
	return res.Outcome
}

// again decides whether another attempt is made.
func (f *Forwarder) again(ctx context.Context, c *Call, e ending, n int) bool {
	if e.begun || e.final || n >= maxAttempts || !f.inTime(ctx, c) {
		return false
	}
	// Only a certified "not run" lets a call that is not idempotent go again.
	if e.outcome != wire.Outcome_OUTCOME_NOT_RUN && !c.Head.Idempotent {
		return false
	}
	// The budget keeps retries from multiplying the load on upstreams that are
	// left. An attempt that put no load on any doesn't count: it would have calls
	// refused for a dead or leaving agent, although others are up.
	if e.free() {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.balancers[c.Pool.Name]
	return b != nil && b.budget.Take()
}

// ending is how one attempt ended.
type ending struct {
	outcome wire.Outcome
	reason  wire.Reason
	detail  string
	begun   bool
	// final says that another attempt can't help.
	final bool
	// ended says that the agent ended the attempt in order: nothing follows.
	ended bool
	// unreached says that no agent got any of the request.
	unreached bool
	// move says that the upstream had no free slot after all.
	move bool
	load *wire.Load
	// upstreamLife names what ended under the attempt; empty if the upstream lives on.
	upstreamLife string
	took         time.Duration
}

// free says whether the attempt put no load on any upstream: no agent was
// reached, or one refused at the door because it is leaving or has a new life.
func (e ending) free() bool {
	if e.unreached {
		return true
	}
	atDoor := e.reason == wire.Reason_REASON_UPSTREAM_LEAVING || e.reason == wire.Reason_REASON_NO_UPSTREAM
	return atDoor && e.outcome == wire.Outcome_OUTCOME_NOT_RUN
}

func (f *Forwarder) attempt(ctx context.Context, c *Call, sink Sink, n int) (route.Upstream, ending) {
	choice, held, err := f.choose(c, n)
	up := choice.Upstream
	if err != nil {
		return up, ending{
			outcome: wire.Outcome_OUTCOME_NOT_RUN, reason: wire.Reason_REASON_NO_UPSTREAM,
			detail: err.Error(), final: true,
		}
	}
	began := f.now()
	head := headFor(c, choice, n, began)
	head.Ticket = held
	e := f.exchange(ctx, up, head, c, sink)
	e.move, e.took = movedOn(head, e), f.now().Sub(began)
	f.done(ctx, c, up, e, began)
	return up, e
}

// movedOn says whether an agent refused because it had no free slot, or held the
// attempt's no longer.
func movedOn(h *wire.RunHead, e ending) bool {
	if e.reason != wire.Reason_REASON_QUEUE_FULL || e.outcome != wire.Outcome_OUTCOME_NOT_RUN {
		return false
	}
	return h.NoWait || h.Ticket != ""
}

// headFor makes the head of one attempt.
func headFor(c *Call, up route.Choice, n int, now time.Time) *wire.RunHead {
	h := c.Head
	head := &wire.RunHead{
		RequestId: h.RequestId, AttemptId: h.RequestId + "." + strconv.Itoa(n),
		Team: h.Team, Service: h.Service, Priority: h.Priority, Weight: h.Weight,
		TimeoutUs: c.Deadline.Sub(now).Microseconds(), Idempotent: h.Idempotent,
		Method: h.Method, Path: h.Path, Headers: h.Headers, Tokens: h.Tokens,
		Incarnation: up.Incarnation,
	}
	head.NoWait = up.NoWait && c.mayMove
	return head
}

var errNoUpstream = merry.Sentinel("no upstream is up")

// choose takes the slot that is held for the call, if there is one, or else picks
// an upstream.
func (f *Forwarder) choose(c *Call, n int) (choice route.Choice, ticket string, err error) {
	if held := c.slot; held != nil {
		c.slot = nil
		return route.Choice{Upstream: held.up}, held.ticket, nil
	}
	choice, err = f.pick(c, n)
	return choice, "", err
}

func (f *Forwarder) pick(c *Call, n int) (route.Choice, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b, err := f.balancer(c.Pool)
	if err != nil {
		return route.Choice{}, err
	}
	if n == 1 {
		b.budget.Offer()
	}
	choice, ok := b.Pick(f.now(), c.Route)
	if !ok {
		return route.Choice{}, errNoUpstream
	}
	return choice, nil
}

func (f *Forwarder) done(ctx context.Context, c *Call, up route.Upstream, e ending, began time.Time) {
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

// exchange runs one attempt over drpc.
func (f *Forwarder) exchange(ctx context.Context, up route.Upstream, head *wire.RunHead, c *Call, sink Sink) ending {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	stream, err := f.open(ctx, up.Address)
	if err != nil {
		e := notRun(wire.Reason_REASON_UPSTREAM_FAILED, err)
		e.unreached = true
		return e
	}
	defer stream.Close()
	if handed, err := send(stream, head, c.Body); err != nil {
		if handed {
			return inDoubt(ctx, err)
		}
		return notRun(wire.Reason_REASON_UPSTREAM_FAILED, err)
	}
	rd := &reader{stream: stream, head: head, sink: sink, max: c.MaxAnswer}
	e := rd.read(ctx)
	if e.reason != 0 && !e.ended {
		// The rest of an answer that is no longer wanted must not reach the
		// next call on the connection: the call is cancelled with it.
		cancel()
	}
	return e
}

// open begins a call. A pooled connection may be on its way down, because the
// call before it was cancelled; beginning a call there fails although the agent
// is well. Nothing has been sent then, so that another connection can be taken.
func (f *Forwarder) open(ctx context.Context, addr string) (wire.DRPCAgent_RunClient, error) {
	stream, err := wire.NewDRPCAgentClient(f.pool.CallConn(ctx, addr)).Run(ctx)
	if err != nil && ctx.Err() == nil {
		return wire.NewDRPCAgentClient(f.pool.CallConn(ctx, addr)).Run(ctx)
	}
	return stream, err
}

// send hands the request over, and the end of sending with it. handed is true once
// the last frame may have left: the agent runs nothing before it.
func send(stream wire.DRPCAgent_RunClient, head *wire.RunHead, body []byte) (handed bool, err error) {
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

func notRun(r wire.Reason, err error) ending {
	return ending{outcome: wire.Outcome_OUTCOME_NOT_RUN, reason: r, detail: err.Error()}
}

func inDoubt(ctx context.Context, err error) ending {
	reason := wire.Reason_REASON_UPSTREAM_FAILED
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason = wire.Reason_REASON_DEADLINE
	}
	return ending{outcome: wire.Outcome_OUTCOME_UNKNOWN, reason: reason, detail: err.Error()}
}
