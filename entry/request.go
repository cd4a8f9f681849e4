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
	"github.com/snipereach/snipereach/quarantine"
	"github.com/snipereach/snipereach/refusal"
	"github.com/snipereach/snipereach/route"
	"github.com/snipereach/snipereach/table"
	"github.com/snipereach/snipereach/upstream"
	"github.com/snipereach/snipereach/wire"
)

// Header names from callers.
const (
	headerKey        = "Idempotency-Key"
	headerIdempotent = "X-Idempotent"
	headerPriority   = "X-Priority"
	headerTimeout    = "X-Timeout-Ms"
)

// charsPerToken estimates prompt tokens from text.
const charsPerToken = 4

// defaultOutputTokens is the estimate for a call that sets no bound.
const defaultOutputTokens = 256

// refuse makes a refusal of a request that was not run.
func (e *Entry) refuse(reason wire.Reason, detail string) *wire.Refusal {
	r := &wire.Refusal{
		RequestId: rand.Text(), Reason: reason, Outcome: wire.Outcome_OUTCOME_NOT_RUN,
		Detail: detail, Entry: e.settings.ID, AtUnixMs: e.settings.Now().UnixMilli(),
		RetryAfterMs: uint32(refusal.RetryAfter(reason).Milliseconds()),
	}
	if v := e.view.Load(); v != nil {
		r.Revision = v.Revision
	}
	return r
}

// request is one caller's request on its way through the entry.
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
	// claimed says that the request holds its idempotency key.
	claimed bool
	// trial is what is held against the request.
	trial quarantine.Trial
}

func (e *Entry) begin(w http.ResponseWriter, r *http.Request) (*request, *wire.Refusal) {
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
		return nil, e.refuse(wire.Reason_REASON_UNAUTHENTICATED, "the key belongs to no team")
	}
	q := &request{entry: e, w: w, r: r, id: rand.Text(), view: v, team: team}
	q.trial.Init(e.suspects, q)
	return q, nil
}

// modelCall is the part of an OpenAI-shaped body that the entry reads.
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

// serveCall serves a request; read finds its service and reads its body.
func (e *Entry) serveCall(w http.ResponseWriter, r *http.Request, read func(*request) *wire.Refusal) {
	q, ref := e.begin(w, r)
	if ref == nil {
		defer func() { e.bodies.free(q.body) }()
		ref = read(q)
	}
	if ref == nil {
		ref = q.serve()
	}
	if ref != nil {
		doubt(r, q, ref)
		e.writeRefusal(w, q, ref)
	}
}

// doubt keeps a refusal of a request that doesn't hold its idempotency key from
// saying "not run". An earlier sending, through another entry or before a row
// changed, may have run; the caller would take a new key and run it twice. A
// malformed request is left alone: no earlier sending was the same.
func doubt(r *http.Request, q *request, ref *wire.Refusal) {
	if r.Header.Get(headerKey) == "" || ref.Outcome != wire.Outcome_OUTCOME_NOT_RUN || ref.Reason == wire.Reason_REASON_BAD_REQUEST {
		return
	}
	if q != nil && (q.claimed || q.service != nil && q.idempotent()) {
		return
	}
	ref.Outcome = wire.Outcome_OUTCOME_UNKNOWN
	ref.Detail += "; an earlier sending with this key may have run"
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
	name := "entry.refusals." + refusal.ReasonWord(ref.Reason) + "." + refusal.OutcomeWord(ref.Outcome)
	metrics.GetOrRegisterCounter(name, e.metrics).Inc(1)
	e.markLeaving(w.Header())
	e.sealer.Write(w, ref)
}

func (q *request) readBody(limit int64) *wire.Refusal {
	e := q.entry
	if q.r.Body == http.NoBody {
		return nil
	}
	var err error
	q.body, err = e.bodies.readTimely(q.w, http.MaxBytesReader(q.w, q.r.Body, limit), e.settings.BodyTimeout.D(), q.urgent())
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return e.refuse(wire.Reason_REASON_BODY_TOO_LARGE, "body is over "+strconv.FormatInt(limit, 10)+" bytes")
	case errors.Is(err, errBodiesFull):
		return e.refuse(wire.Reason_REASON_QUEUE_FULL, err.Error())
	case late(err):
		return e.refuse(wire.Reason_REASON_DEADLINE, "body did not come within "+e.settings.BodyTimeout.D().String())
	}
	return e.refuse(wire.Reason_REASON_BAD_REQUEST, "body can't be read: "+err.Error())
}

// urgent says whether the request is known to be urgent before its body is read.
func (q *request) urgent() bool {
	if q.service == nil {
		return false
	}
	p, ref := q.priority()
	return ref == nil && p == wire.Priority_PRIORITY_URGENT
}

// maxModelBody bounds a model call until its service is known.
func (q *request) maxModelBody() int64 {
	most := int64(0)
	for _, s := range q.view.Services {
		if s.Kind != "plain" {
			most = max(most, s.MaxBody)
		}
	}
	return most
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
	output := max(c.MaxTokens, c.MaxCompletionTokens)
	if output <= 0 {
		output = defaultOutputTokens
	}
	prompt := string(c.Prompt) + string(c.Messages)
	q.tokens = len(prompt)/charsPerToken + output
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

// priority is what the caller asks for, else the service's; the team's row
// bounds it.
func (q *request) priority() (wire.Priority, *wire.Refusal) {
	p := q.service.Priority
	asked := q.r.Header.Get(headerPriority)
	if asked != "" {
		p = table.ParsePriority(asked)
		if p == wire.Priority_PRIORITY_UNSPECIFIED {
			return 0, q.entry.refuse(wire.Reason_REASON_BAD_REQUEST, "header "+headerPriority+": must be urgent, normal or batch")
		}
	}
	if p < q.team.MaxPriority && asked != "" {
		ref := q.entry.refuse(wire.Reason_REASON_FORBIDDEN, "the team may not ask for priority "+asked)
		ref.RowKind, ref.RowKey, ref.RowVersion = q.team.Kind, q.team.Key, q.team.Version
		return 0, ref
	}
	return max(p, q.team.MaxPriority), nil
}

// idempotent says whether the call may be run again: the service row and the
// caller must both say so; the stricter wins.
func (q *request) idempotent() bool {
	return q.service.Idempotent && q.r.Header.Get(headerIdempotent) != "no"
}

func (q *request) deadline(now time.Time) (time.Time, *wire.Refusal) {
	timeout := q.service.Timeout
	if h := q.r.Header.Get(headerTimeout); h != "" {
		ms, err := strconv.Atoi(h)
		if err != nil || ms <= 0 {
			return now, q.entry.refuse(wire.Reason_REASON_BAD_REQUEST, "header "+headerTimeout+": must be a number of milliseconds over 0")
		}
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	return now.Add(timeout), nil
}

// serve claims the request's key if it has one, admits the request and carries
// it to an upstream.
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
	if ref := q.heldBack(); ref != nil {
		return ref
	}
	hold, done, ref := q.claim(deadline)
	if done || ref != nil {
		return ref
	}
	q.claimed = hold != nil
	sink := &httpSink{w: q.w, id: q.id, mark: e.markLeaving, keep: q.claimed}
	res := forward.Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN}
	defer func() { q.settle(hold, res, sink) }()
	ref = q.admitted(prio, deadline, func(c *forward.Call) *wire.Refusal {
		if ref := q.beginTrial(); ref != nil {
			return ref
		}
		defer q.trial.Done()
		res = e.fwd.Do(q.r.Context(), c, sink)
		return q.finish(res, sink)
	})
	if ref != nil && res.Reason == 0 {
		res.Outcome = ref.Outcome
	}
	return ref
}

// admitted waits for the request's turn and then runs it.
func (q *request) admitted(prio wire.Priority, deadline time.Time, run func(*forward.Call) *wire.Refusal) *wire.Refusal {
	e := q.entry
	done, ref := e.limits.take(q.r.Context(), q, deadline)
	if ref != nil {
		return ref
	}
	defer done()
	weight := q.view.Weight(q.team.Name, q.service.Name)
	release, err := e.runner.Enter(q.r.Context(), &admit.Work{
		Team: q.team.Name, Weight: weight, Priority: prio,
		Cost: float64(max(q.tokens, 1)), Deadline: deadline,
		Queue: q.service.Name, MaxQueue: q.service.MaxQueue,
	})
	if err != nil {
		return q.notAdmitted(err)
	}
	defer release()
	return run(&forward.Call{
		Head: &wire.RunHead{
			RequestId: q.id, Team: q.team.Name, Service: q.service.Name, Priority: prio,
			Weight: uint32(weight), Idempotent: q.idempotent(), Method: q.r.Method,
			Path: q.path, Headers: upstream.PassedHeaders(q.r.Header, headerKey), Tokens: uint32(q.tokens),
		},
		Body: q.body, Pool: q.view.Pools[q.service.Pool], Deadline: deadline,
		Route:     &route.Request{Priority: prio, Tokens: q.tokens, Prefix: q.prefix},
		MaxAnswer: q.service.MaxBody,
		Trial:     q,
	})
}

// notAdmitted says why the request did not get its turn, and by which row if one
// decided.
func (q *request) notAdmitted(err error) *wire.Refusal {
	ref := q.entry.refuse(admitReason(err), err.Error())
	if errors.Is(err, admit.ErrPartFull) {
		ref.RowKind, ref.RowKey, ref.RowVersion = q.service.Source.Kind, q.service.Key, q.service.Version
		ref.Observed = []*wire.Observed{{Name: "limit_max_queue", Value: float64(q.service.MaxQueue)}}
	}
	return ref
}

func admitReason(err error) wire.Reason {
	switch {
	case errors.Is(err, admit.ErrQueueFull), errors.Is(err, admit.ErrPartFull):
		return wire.Reason_REASON_QUEUE_FULL
	case errors.Is(err, admit.ErrClosed):
		return wire.Reason_REASON_DRAINING
	}
	return wire.Reason_REASON_DEADLINE
}

// finish answers the caller of a request that was not answered whole.
func (q *request) finish(res forward.Result, sink *httpSink) *wire.Refusal {
	if res.Reason == 0 {
		q.entry.answers.Inc(1)
		q.trial.Answered(q.id)
		return nil
	}
	if res.Begun || sink.begun {
		// Part of the answer is with the caller. Ending the response as usual
		// would pass the part off as the whole; aborting the connection (HTTP/1.1)
		// or resetting the stream (HTTP/2) shows the cut.
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
