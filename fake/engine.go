package fake

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/snipereach/snipereach/rollout"
)

// Engine is a fake model engine. It serves OpenAI-style completions, streamed or
// not, with a constant time per decoding step, and carries out orders with or
// without checking their fencing tokens.
type Engine struct {
	Server
	// Step is the duration of one decoding step, which yields one token per
	// running request.
	Step time.Duration
	// CacheBlocks is the capacity of the prefix cache; 0 disables it.
	CacheBlocks int
	// Prefill is the time taken per prompt block that is not cached.
	Prefill time.Duration
	// Fencing makes the engine reject orders whose fencing token is lower than
	// the highest one seen.
	Fencing bool
	// Group, if set, makes the engine the rank Rank of a lock-step group.
	Group *Group
	Rank  int

	cache prefixCache

	orderMu      sync.Mutex
	highestToken uint64
	orders       []ExecutedOrder
	staleOrders  int
}

// ExecutedOrder is an order that an engine carried out.
type ExecutedOrder struct {
	Verb  string
	Token uint64
	Body  string
}

// Start listens on the engine's address and serves in the background.
func (e *Engine) Start() error {
	mux := http.NewServeMux()
	e.cache.capacity = e.CacheBlocks
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /cache-events", e.serveCacheEvents)
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	mux.HandleFunc("POST /orders/{verb}", e.serveOrder)
	mux.HandleFunc("GET /expert-counters", e.serveCounters)
	return e.listen(mux)
}

type completionRequest struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

const (
	defaultMaxTokens = 16
	// maxTokensLimit bounds one answer, like an engine's context length.
	maxTokensLimit = 1 << 17
)

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var c completionRequest
	if err := json.Unmarshal(body, &c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if c.MaxTokens <= 0 {
		c.MaxTokens = defaultMaxTokens
	}
	c.MaxTokens = min(c.MaxTokens, maxTokensLimit)
	r.Body = io.NopCloser(bytes.NewReader(nil))
	e.serveWithFault(w, r, func(w http.ResponseWriter) {
		missing := e.cache.lookupAndInsert(c.Model, string(c.Prompt)+string(c.Messages))
		time.Sleep(time.Duration(missing) * e.Prefill)
		if c.Stream {
			e.stream(w, r, &c)
			return
		}
		time.Sleep(time.Duration(c.MaxTokens) * e.Step)
		writeJSON(w, e.completion(r, &c))
	})
}

// generatedText returns token n of an answer. It repeats the request's run key, so
// that callers detect an answer that belongs to another request.
func generatedText(r *http.Request, n int) string {
	return runKey(r) + ":" + strconv.Itoa(n) + " "
}

func (e *Engine) completion(r *http.Request, c *completionRequest) any {
	var out bytes.Buffer
	for n := range c.MaxTokens {
		out.WriteString(generatedText(r, n))
	}
	return map[string]any{
		"object": "chat.completion",
		"model":  c.Model,
		"choices": []any{map[string]any{
			"index": 0, "finish_reason": "length",
			"message": chatMessage{Role: "assistant", Content: out.String()},
		}},
		"usage": map[string]int{"completion_tokens": c.MaxTokens},
	}
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, c *completionRequest) {
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for n := range c.MaxTokens {
		time.Sleep(e.Step)
		if r.Context().Err() != nil {
			return
		}
		chunk, _ := json.Marshal(map[string]any{
			"object":  "chat.completion.chunk",
			"choices": []any{map[string]any{"index": 0, "delta": chatMessage{Content: generatedText(r, n)}}},
		})
		if _, err := fmt.Fprintf(w, "data: %s\n\n", chunk); err != nil {
			return
		}
		_ = rc.Flush()
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	token, _ := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	body, _ := io.ReadAll(r.Body)
	e.orderMu.Lock()
	defer e.orderMu.Unlock()
	if e.Fencing && token < e.highestToken {
		writeJSON(w, map[string]any{"accepted": false, "detail": "fencing token is old"})
		return
	}
	if token < e.highestToken {
		e.staleOrders++
	}
	e.highestToken = max(e.highestToken, token)
	e.orders = append(e.orders, ExecutedOrder{Verb: r.PathValue("verb"), Token: token, Body: string(body)})
	if e.Group != nil {
		e.serveRankOrder(w, r.PathValue("verb"), body)
		return
	}
	writeJSON(w, map[string]any{"accepted": true})
}

func (e *Engine) serveRankOrder(w http.ResponseWriter, verb string, body []byte) {
	var o rollout.Order
	if err := json.Unmarshal(body, &o); err != nil {
		writeJSON(w, map[string]any{"accepted": false, "detail": err.Error()})
		return
	}
	status, err := json.Marshal(e.Group.HandleOrder(e.Rank, verb, &o))
	writeJSON(w, map[string]any{"accepted": err == nil, "body": status})
}

func (e *Engine) serveCounters(w http.ResponseWriter, _ *http.Request) {
	if e.Group == nil {
		http.Error(w, "engine is not in a group", http.StatusNotFound)
		return
	}
	writeJSON(w, e.Group.Counters(e.Rank))
}

// StaleOrders returns how many orders the engine carried out after an order with a
// higher fencing token, as when a former leader's order arrives late.
func (e *Engine) StaleOrders() int {
	e.orderMu.Lock()
	defer e.orderMu.Unlock()
	return e.staleOrders
}

// Orders returns the orders that the engine carried out, oldest first.
func (e *Engine) Orders() []ExecutedOrder {
	e.orderMu.Lock()
	defer e.orderMu.Unlock()
	return append([]ExecutedOrder(nil), e.orders...)
}
