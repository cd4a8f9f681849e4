package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"github.com/snipereach/snipereach/fake"
	"github.com/snipereach/snipereach/refusal"
)

// maxAnswerBytes bounds how much of one answer is read.
const maxAnswerBytes = 64 << 20

// Outcome is a caller's knowledge of a request's result.
type Outcome string

// Outcomes.
const (
	// Answered means that a response was read to its end, whatever its verdict.
	Answered Outcome = "answered"
	// NotRun means that the system refused the request as not run, or that no
	// connection was made.
	NotRun Outcome = "not-run"
	// Unknown is any other result: the request may have run.
	Unknown Outcome = "unknown"
	// Unsent means that the request was due while MaxInFlight were in flight.
	Unsent Outcome = "unsent"
)

// Reasons assigned by the tool. All others come from the system's refusals.
const (
	reasonUnreachable = "entry-unreachable"
	reasonConnection  = "connection-cut"
	reasonTimeout     = "caller-timeout"
	reasonStatus      = "status-"
)

// attemptResult is the result of one attempt of a request.
type attemptResult struct {
	outcome  Outcome
	reason   string
	verdict  Verdict
	replayed bool
	// first is when the response header was received; for a stream, the first token.
	first time.Time
	// gaps are the times between consecutive tokens of a stream.
	gaps []time.Duration
}

// call is one request with all its attempts.
type call struct {
	Arrival
	key string
	due time.Time
}

func (c *call) path() string {
	if c.Class.Kind == KindEngine {
		return "/v1/chat/completions"
	}
	return strings.ReplaceAll(c.Class.Path, "{n}", strconv.Itoa(c.Number))
}

func (c *call) expected() expected {
	return expected{key: c.key, tokens: c.Tokens, method: http.MethodPost, path: c.path()}
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatCall struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

func (c *call) body() []byte {
	if c.Class.Kind == KindPlain {
		return []byte(`{"request":"` + c.key + `"}`)
	}
	body, _ := json.Marshal(chatCall{
		Model: c.Class.Target, Stream: c.Class.Stream, MaxTokens: c.Tokens,
		Messages: []chatMessage{
			{Role: "system", Content: prefixText(c.Prefix, c.Class.PrefixChars)},
			{Role: "user", Content: c.key},
		},
	})
	return body
}

// prefixText returns the prompt prefix of a number, chars bytes long.
func prefixText(number, chars int) string {
	word := "prefix " + strconv.Itoa(number) + " "
	return strings.Repeat(word, chars/len(word)+1)[:chars]
}

func (c *call) request(ctx context.Context, entry string) (*http.Request, error) {
	url := "http://" + entry + c.path()
	if c.Class.Kind == KindPlain {
		url = "http://" + entry + "/services/" + c.Class.Target + c.path()
	}
	body := c.body()
	// Without GetBody net/http does not retry by itself. A retry that the tool does
	// not know of would be reported as a doubled run.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Authorization", "Bearer "+c.Team.Key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(fake.HeaderRunKey, c.key)
	if c.Class.Keys {
		req.Header.Set("Idempotency-Key", c.key)
	}
	if !c.Class.Idempotent {
		req.Header.Set("X-Idempotent", "no")
	}
	if c.Class.Priority != "" {
		req.Header.Set("X-Priority", c.Class.Priority)
	}
	return req, nil
}

// attempt sends the request once to an entry and waits for the result.
func (c *call) attempt(ctx context.Context, client *http.Client, entry string) attemptResult {
	ctx, cancel := context.WithTimeout(ctx, c.Class.Timeout.D())
	defer cancel()
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	req, err := c.request(httptrace.WithClientTrace(ctx, trace), entry)
	if err != nil {
		return attemptResult{outcome: NotRun, reason: reasonUnreachable}
	}
	resp, err := client.Do(req)
	switch {
	case err != nil && !connected:
		return attemptResult{outcome: NotRun, reason: reasonUnreachable}
	case err != nil:
		return attemptResult{outcome: Unknown, reason: interruptReason(ctx)}
	}
	defer resp.Body.Close()
	rep := attemptResult{first: time.Now(), replayed: resp.Header.Get("Idempotent-Replayed") != ""}
	kind := resp.Header.Get("Content-Type")
	switch {
	case strings.HasPrefix(kind, "application/problem+json"):
		c.readRefusal(ctx, resp.Body, &rep)
	case resp.StatusCode != http.StatusOK:
		rep.outcome, rep.reason = Unknown, reasonStatus+strconv.Itoa(resp.StatusCode)
	case strings.HasPrefix(kind, "text/event-stream"):
		c.readStream(ctx, resp.Body, &rep)
	default:
		c.readBody(ctx, resp.Body, &rep)
	}
	return rep
}

func interruptReason(ctx context.Context) string {
	if ctx.Err() != nil {
		return reasonTimeout
	}
	return reasonConnection
}

func (c *call) readRefusal(ctx context.Context, body io.Reader, rep *attemptResult) {
	var p refusal.Problem
	rep.outcome = Unknown
	if err := json.NewDecoder(io.LimitReader(body, maxAnswerBytes)).Decode(&p); err != nil {
		rep.reason = interruptReason(ctx)
		return
	}
	rep.reason = p.Reason
	if p.Outcome == string(NotRun) {
		rep.outcome = NotRun
	}
}

func (c *call) readBody(ctx context.Context, body io.Reader, rep *attemptResult) {
	text, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		rep.outcome, rep.reason = Unknown, interruptReason(ctx)
		return
	}
	rep.outcome, rep.verdict = Answered, Whole
	switch {
	case c.Class.Check == checkModeNone:
	case c.Class.Kind == KindEngine:
		rep.verdict = checkCompletion(c.expected(), text)
	default:
		rep.verdict = checkEcho(c.expected(), text)
	}
}

func (c *call) readStream(ctx context.Context, body io.Reader, rep *attemptResult) {
	check := &streamCheck{want: c.expected()}
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxAnswerBytes)
	var last time.Time
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok || !check.addEvent(data) {
			continue
		}
		now := time.Now()
		if last.IsZero() {
			rep.first = now
		} else {
			rep.gaps = append(rep.gaps, now.Sub(last))
		}
		last = now
	}
	if lines.Err() != nil {
		// The caller sees the interruption, so a Cut is no fault here. Tokens read
		// before it must still belong to the request.
		rep.outcome, rep.reason = Unknown, interruptReason(ctx)
		if v := check.verdict(); v == Crossed || v == Doubled {
			rep.verdict = v
		}
		return
	}
	rep.outcome, rep.verdict = Answered, check.verdict()
	if c.Class.Check == checkModeNone {
		rep.verdict = Whole
	}
}
