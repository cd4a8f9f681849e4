package entry

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"

	"github.com/snipereach/snipereach/admit"
	"github.com/snipereach/snipereach/forward"
	"github.com/snipereach/snipereach/httpserver"
	"github.com/snipereach/snipereach/quarantine"
	"github.com/snipereach/snipereach/refusal"
	"github.com/snipereach/snipereach/route"
	"github.com/snipereach/snipereach/table"
	"github.com/snipereach/snipereach/upstream"
	"github.com/snipereach/snipereach/wire"
)

// Request headers of callers.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerIdempotent     = "X-Idempotent"
	headerPriority       = "X-Priority"
	headerTimeout        = "X-Timeout-Ms"
)

// charsPerToken converts the length of a prompt to an estimate of its tokens.
const charsPerToken = 4

// defaultOutputTokens is the estimate for a call that sets no maximum.
const defaultOutputTokens = 256

// refuse returns a refusal with the outcome "not run".
func (e *Entry) refuse(reason wire.Reason, detail string) *wire.Refusal {
	return &wire.Refusal{
		RequestId: rand.Text(), Reason: reason, Outcome: wire.Outcome_OUTCOME_NOT_RUN,
		Detail: detail, Entry: e.settings.ID, AtUnixMs: e.settings.Now().UnixMilli(),
		RetryAfterMs: uint32(refusal.RetryAfter(reason).Milliseconds()), Revision: e.Revision(),
	}
}

// request is the state of one caller's request.
type request struct {
	entry   *Entry
	w       http.ResponseWriter
	r       *http.Request
	id      string
	view    *table.View
	team    *table.Team
	service *table.Service
	body    []byte
	tokens  int
	prefix  []uint64
	path    string
	// holdsKey is true while the request holds the claim of its idempotency key.
	holdsKey bool
	// guard checks the request against the quarantine.
	guard quarantine.RequestGuard
}

func (e *Entry) newRequest(w http.ResponseWriter, r *http.Request) (*request, *wire.Refusal) {
	v := e.view.Load()
	if v == nil {
		return nil, e.refuse(wire.Reason_REASON_CONFIG_UNCONFIRMED, "no rows are in force yet")
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, e.refuse(wire.Reason_REASON_UNAUTHENTICATED, "header Authorization: Bearer KEY is needed")
	}
	team := v.TeamByKey(key)
	if team == nil {
		ref := e.refuse(wire.Reason_REASON_UNAUTHENTICATED, "the key belongs to no team")
		ref.Revision = v.Revision
		return nil, ref
	}
	q := &request{entry: e, w: w, r: r, id: rand.Text(), view: v, team: team}
	q.guard.Init(e.quarantine, q)
	return q, nil
}

// modelCall holds the fields of an OpenAI-compatible request body that the entry reads.
type modelCall struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            json.RawMessage `json:"messages"`
}

func (e *Entry) serveModel(w http.ResponseWriter, r *http.Request) {
	e.serveCall(w, r, (*request).readModel)
}

func (e *Entry) servePlain(w http.ResponseWriter, r *http.Request) {
	e.serveCall(w, r, (*request).readPlain)
}

// serveCall serves a request. The readRequest function determines its service and reads
// its body.
func (e *Entry) serveCall(w http.ResponseWriter, r *http.Request, readRequest func(*request) *wire.Refusal) {
	q, ref := e.newRequest(w, r)
	if ref == nil {
		ref = readRequest(q)
	}
	if ref == nil {
		ref = q.serve()
	}
	if ref != nil {
		if q != nil {
			ref.Revision = q.view.Revision
		}
		ref = e.confirmRefusal(r.Context(), ref)
		markPossiblyRun(r, q, ref)
		e.writeRefusal(w, q, ref)
	}
}

// markPossiblyRun changes the outcome of a refusal from "not run" to "unknown" if the
// request has an idempotency key but doesn't hold its claim and isn't known to be
// idempotent. An earlier attempt, through another entry or before a row changed, may have
// run; a caller that was told "not run" would retry with a new key and run the request
// twice. A refusal of a malformed request stays, because no earlier attempt can have been
// the same.
func markPossiblyRun(r *http.Request, q *request, ref *wire.Refusal) {
	if r.Header.Get(headerIdempotencyKey) == "" || ref.Outcome != wire.Outcome_OUTCOME_NOT_RUN || ref.Reason == wire.Reason_REASON_BAD_REQUEST {
		return
	}
	if q != nil && (q.holdsKey || q.service != nil && q.idempotent()) {
		return
	}
	ref.Outcome = wire.Outcome_OUTCOME_UNKNOWN
	ref.Detail += "; an earlier attempt with this key may have run"
}

func (e *Entry) writeRefusal(w http.ResponseWriter, q *request, ref *wire.Refusal) {
	if q != nil {
		ref.RequestId = q.id
		ref.Team = q.team.Name
		ref.Revision = q.view.Revision
		if q.service != nil {
			ref.Service = q.service.Name
		}
	}
	name := "entry.refusals." + refusal.ReasonName(ref.Reason) + "." + refusal.OutcomeName(ref.Outcome)
	metrics.GetOrRegisterCounter(name, e.metrics).Inc(1)
	e.setConnectionClose(w.Header())
	e.signer.Write(w, ref)
}

func (q *request) readBody(limit int64) *wire.Refusal {
	e := q.entry
	if q.r.Body == http.NoBody {
		return nil
	}
	var err error
	deadline := time.Now().Add(e.settings.BodyTimeout.D())
	q.body, err = httpserver.ReadBody(q.w, q.r, httpserver.BodyLimits{Bytes: limit, Deadline: deadline, Reserved: q.urgent()})
	switch {
	case err == nil:
		return nil
	case errors.Is(err, httpserver.ErrBodyTooLarge):
		return e.refuse(wire.Reason_REASON_BODY_TOO_LARGE, "body is over "+strconv.FormatInt(limit, 10)+" bytes")
	case errors.Is(err, httpserver.ErrNoMemory):
		return e.refuse(wire.Reason_REASON_QUEUE_FULL, err.Error())
	case errors.Is(err, httpserver.ErrBodyTimeout):
		return e.refuse(wire.Reason_REASON_DEADLINE, "body was not received within "+e.settings.BodyTimeout.D().String())
	}
	return e.refuse(wire.Reason_REASON_BAD_REQUEST, "body can't be read: "+err.Error())
}

// urgent reports whether the request is urgent, as far as known before its body is read.
func (q *request) urgent() bool {
	if q.service == nil {
		return false
	}
	p, ref := q.priority()
	return ref == nil && p == wire.Priority_PRIORITY_URGENT
}

// maxModelBody returns the largest body limit, in bytes, of all services that serve
// models. It bounds a model call until its service is known.
func (q *request) maxModelBody() int64 {
	largest := int64(0)
	for _, s := range q.view.Services {
		if s.Kind != "plain" {
			largest = max(largest, s.MaxBody)
		}
	}
	return largest
}

func (q *request) readModel() *wire.Refusal {
	if ref := q.readBody(q.maxModelBody()); ref != nil {
		return ref
	}
	var c modelCall
	if err := json.Unmarshal(q.body, &c); err != nil {
		return q.entry.refuse(wire.Reason_REASON_BAD_REQUEST, "body is not the JSON of a model call: "+err.Error())
	}
	q.service = q.view.ServiceByModel(c.Model)
	if q.service == nil {
		return q.entry.refuse(wire.Reason_REASON_UNKNOWN_SERVICE, "no service serves model "+strconv.Quote(c.Model))
	}
	if int64(len(q.body)) > q.service.MaxBody {
		return q.entry.refuse(wire.Reason_REASON_BODY_TOO_LARGE, "body is over "+strconv.FormatInt(q.service.MaxBody, 10)+" bytes")
	}
	outputTokens := max(c.MaxTokens, c.MaxCompletionTokens)
	if outputTokens <= 0 {
		outputTokens = defaultOutputTokens
	}
	prompt := string(c.Prompt) + string(c.Messages)
	q.tokens = len(prompt)/charsPerToken + outputTokens
	q.prefix = prefixHashes(c.Model, prompt)
	q.path = q.r.URL.Path
	return nil
}

func (q *request) readPlain() *wire.Refusal {
	name := mux.Vars(q.r)["service"]
	q.service = q.view.Services[name]
	if q.service == nil || q.service.Kind != "plain" {
		return q.entry.refuse(wire.Reason_REASON_UNKNOWN_SERVICE, "no plain service "+strconv.Quote(name))
	}
	q.path = strings.TrimPrefix(q.r.URL.EscapedPath(), "/services/"+name)
	if q.r.URL.RawQuery != "" {
		q.path += "?" + q.r.URL.RawQuery
	}
	return q.readBody(q.service.MaxBody)
}

// priority returns the priority that the caller requests, else the service's. A request
// above the team's maximum is refused; a service's priority above it is lowered to it.
func (q *request) priority() (wire.Priority, *wire.Refusal) {
	p := q.service.Priority
	requested := q.r.Header.Get(headerPriority)
	if requested != "" {
		p = table.ParsePriority(requested)
		if p == wire.Priority_PRIORITY_UNSPECIFIED {
			return 0, q.entry.refuse(wire.Reason_REASON_BAD_REQUEST, "header "+headerPriority+": must be urgent, normal or batch")
		}
	}
	if p < q.team.MaxPriority && requested != "" {
		ref := q.entry.refuse(wire.Reason_REASON_FORBIDDEN, "the team may not ask for priority "+requested)
		ref.RowKind, ref.RowKey, ref.RowVersion = q.team.Kind, q.team.Key, q.team.Version
		return 0, ref
	}
	return max(p, q.team.MaxPriority), nil
}

// idempotent reports whether the request may be run more than once: the service's row
// must allow it and the caller must not forbid it.
func (q *request) idempotent() bool {
	return q.service.Idempotent && q.r.Header.Get(headerIdempotent) != "no"
}

func (q *request) deadline(now time.Time) (time.Time, *wire.Refusal) {
	timeout := q.service.Timeout
	if h := q.r.Header.Get(headerTimeout); h != "" {
		ms, err := strconv.Atoi(h)
		if err != nil || ms <= 0 {
			return now, q.entry.refuse(wire.Reason_REASON_BAD_REQUEST, "header "+headerTimeout+": must be a positive number of milliseconds")
		}
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	return now.Add(timeout), nil
}

// serve claims the request's idempotency key if necessary, admits the request and
// forwards it to an upstream.
func (q *request) serve() *wire.Refusal {
	e := q.entry
	e.requests.Add(1)
	defer e.requests.Add(-1)
	prio, ref := q.priority()
	if ref != nil {
		return ref
	}
	deadline, ref := q.deadline(q.entry.settings.Now())
	if ref != nil {
		return ref
	}
	if ref := q.quarantineRefusal(); ref != nil {
		return ref
	}
	hold, done, ref := q.claimKey(deadline)
	if done || ref != nil {
		return ref
	}
	q.holdsKey = hold != nil
	sink := &httpSink{w: q.w, id: q.id, addHeaders: e.setConnectionClose, storeAnswer: q.holdsKey}
	res := forward.Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN}
	defer func() { q.settleClaim(hold, res, sink) }()
	ref = q.admitAndRun(prio, deadline, func(c *forward.Call) *wire.Refusal {
		if ref := q.beginTrial(); ref != nil {
			return ref
		}
		defer q.guard.Done()
		res = e.fwd.Do(q.r.Context(), c, sink)
		return q.finish(res, sink)
	})
	if ref != nil && res.Reason == 0 {
		res.Outcome = ref.Outcome
	}
	return ref
}

// admitAndRun waits until the request is admitted by the team's limit and the entry's
// queue, and then calls run.
func (q *request) admitAndRun(prio wire.Priority, deadline time.Time, run func(*forward.Call) *wire.Refusal) *wire.Refusal {
	e := q.entry
	releaseLimit, ref := e.teamLimits.acquire(q.r.Context(), q, deadline)
	if ref != nil {
		return ref
	}
	defer releaseLimit()
	weight := q.view.Weight(q.team.Name, q.service.Name)
	releaseSlot, err := e.runner.Acquire(q.r.Context(), &admit.Work{
		Team: q.team.Name, Weight: weight, Priority: prio,
		Cost: float64(max(q.tokens, 1)), Deadline: deadline,
		Queue: q.service.Name, MaxQueue: q.service.MaxQueue,
	})
	if err != nil {
		return q.admissionRefusal(err)
	}
	defer releaseSlot()
	return run(&forward.Call{
		Head: &wire.RunHead{
			RequestId: q.id, Team: q.team.Name, Service: q.service.Name, Priority: prio,
			Weight: uint32(weight), Idempotent: q.idempotent(), Method: q.r.Method,
			Path: q.path, Headers: upstream.ForwardedHeaders(q.r.Header, headerIdempotencyKey), Tokens: uint32(q.tokens),
		},
		Body: q.body, Pool: q.view.Pools[q.service.Pool], Deadline: deadline,
		Route:            &route.Request{Priority: prio, Tokens: q.tokens, Prefix: q.prefix},
		MaxResponseBytes: q.service.MaxBody,
		Guard:            q,
	})
}

// admissionRefusal returns the refusal for an error of admission control, with the
// service's row if its queue limit was the cause.
func (q *request) admissionRefusal(err error) *wire.Refusal {
	ref := q.entry.refuse(admitReason(err), err.Error())
	if errors.Is(err, admit.ErrNamedQueueFull) {
		ref.RowKind, ref.RowKey, ref.RowVersion = q.service.Source.Kind, q.service.Key, q.service.Version
		ref.Observed = []*wire.Observed{{Name: "limit_max_queue", Value: float64(q.service.MaxQueue)}}
	}
	return ref
}

func admitReason(err error) wire.Reason {
	switch {
	case errors.Is(err, admit.ErrQueueFull), errors.Is(err, admit.ErrNamedQueueFull):
		return wire.Reason_REASON_QUEUE_FULL
	case errors.Is(err, admit.ErrClosed):
		return wire.Reason_REASON_DRAINING
	}
	return wire.Reason_REASON_DEADLINE
}

// finish records a complete answer and returns nil. Of a request that wasn't answered it
// returns the refusal; a partial answer is aborted with http.ErrAbortHandler.
func (q *request) finish(res forward.Result, sink *httpSink) *wire.Refusal {
	if res.Reason == 0 {
		q.entry.answers.Inc(1)
		q.guard.RecordAnswer(q.id)
		return nil
	}
	if res.StreamBegun || sink.started {
		// The caller may have received part of the answer. A normal end of the response
		// would make it look complete; aborting the connection (HTTP/1.1) or resetting
		// the stream (HTTP/2) shows that it is truncated.
		metrics.GetOrRegisterCounter("entry.answers.cut", q.entry.metrics).Inc(1)
		panic(http.ErrAbortHandler)
	}
	ref := q.entry.refuse(res.Reason, res.Detail)
	ref.Outcome = res.Outcome
	ref.Attempts = res.Attempts
	if errors.Is(q.r.Context().Err(), context.Canceled) {
		metrics.GetOrRegisterCounter("entry.callers.left", q.entry.metrics).Inc(1)
	}
	return ref
}
