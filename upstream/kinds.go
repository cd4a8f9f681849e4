package upstream

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

func init() {
	kernel.Register(kernel.Module{
		ID:  "upstream.plain",
		Doc: "a plain HTTP service",
		New: func() any { return &Plain{HTTP: defaultHTTP()} },
	})
	kernel.Register(kernel.Module{
		ID:  "upstream.engine",
		Doc: "a model engine with an OpenAI-shaped HTTP interface",
		New: func() any { return &Engine{HTTP: defaultHTTP()} },
	})
}

// LoadPath is the path at which a server returns its load as JSON.
const LoadPath = "/load"

// loadReport is the JSON response to a load call.
type loadReport struct {
	Running       uint32 `json:"running"`
	Waiting       uint32 `json:"waiting"`
	Slots         uint32 `json:"slots"`
	PendingTokens uint64 `json:"pending_tokens"`
	CachePermille uint32 `json:"cache_permille"`
}

// Plain is a client of a plain HTTP service.
type Plain struct {
	HTTP
	seq atomic.Uint64
}

// Kind implements Upstream.
func (p *Plain) Kind() string { return "plain" }

// Load implements Upstream.
func (p *Plain) Load(ctx context.Context) (*wire.Load, error) {
	return p.fetchLoad(ctx, &p.seq)
}

func (h *HTTP) fetchLoad(ctx context.Context, seq *atomic.Uint64) (*wire.Load, error) {
	var r loadReport
	if err := h.getJSON(ctx, LoadPath, &r); err != nil {
		return nil, err
	}
	return &wire.Load{
		Seq: seq.Add(1), Running: r.Running, Waiting: r.Waiting, Slots: r.Slots,
		PendingTokens: r.PendingTokens, CachePermille: r.CachePermille,
	}, nil
}

// Cache implements Upstream.
func (p *Plain) Cache(context.Context, uint64) ([]*wire.CacheEvent, error) {
	return nil, ErrUnsupported
}

// Counters implements Upstream.
func (p *Plain) Counters(context.Context) (*wire.ExpertCounters, error) {
	return nil, ErrUnsupported
}

// SendOrder implements Upstream.
func (p *Plain) SendOrder(context.Context, *wire.Order) (*wire.OrderReply, error) {
	return nil, ErrUnsupported
}

// Engine is a client of a model engine.
type Engine struct {
	HTTP
	seq atomic.Uint64
}

// Kind implements Upstream.
func (e *Engine) Kind() string { return "engine" }

// Load implements Upstream.
func (e *Engine) Load(ctx context.Context) (*wire.Load, error) {
	return e.fetchLoad(ctx, &e.seq)
}

// cacheEvent is a cache event as JSON.
type cacheEvent struct {
	Seq     uint64   `json:"seq"`
	Added   []uint64 `json:"added"`
	Removed []uint64 `json:"removed"`
	Cleared bool     `json:"cleared"`
}

// Cache implements Upstream.
func (e *Engine) Cache(ctx context.Context, after uint64) ([]*wire.CacheEvent, error) {
	var raw []cacheEvent
	if err := e.getJSON(ctx, "/cache-events?after="+strconv.FormatUint(after, 10), &raw); err != nil {
		return nil, err
	}
	events := make([]*wire.CacheEvent, 0, len(raw))
	for _, r := range raw {
		events = append(events, &wire.CacheEvent{Seq: r.Seq, Added: r.Added, Removed: r.Removed, Cleared: r.Cleared})
	}
	return events, nil
}

// Counters implements Upstream.
func (e *Engine) Counters(ctx context.Context) (*wire.ExpertCounters, error) {
	c := &wire.ExpertCounters{}
	if err := e.getJSON(ctx, "/expert-counters", c); err != nil {
		return nil, err
	}
	return c, nil
}

// orderReply is the JSON response to an order.
type orderReply struct {
	Accepted bool   `json:"accepted"`
	Detail   string `json:"detail"`
	Body     []byte `json:"body"`
}

// SendOrder implements Upstream.
func (e *Engine) SendOrder(ctx context.Context, o *wire.Order) (*wire.OrderReply, error) {
	var r orderReply
	header := http.Header{
		HeaderFencingToken: {strconv.FormatUint(o.Token, 10)},
		HeaderRequestID:    {o.OrderId},
	}
	path := "/orders/" + o.Verb
	if err := e.callJSON(ctx, http.MethodPost, path, bytes.NewReader(o.Body), header, &r); err != nil {
		return nil, err
	}
	return &wire.OrderReply{Accepted: r.Accepted, Detail: r.Detail, Body: r.Body, HighestToken: o.Token}, nil
}
