package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/fake"
	"github.com/snipereach/snipereach/quickstart"
)

// call is one request of a caller, and what came of it.
type call struct {
	id, runKey, entry string
	model, stream     bool
	tokens            int
	path              string
	runsBefore        int
	cancel            context.CancelFunc
	done              chan struct{}

	// What the caller saw; valid once done is closed.
	err     error
	status  int
	header  http.Header
	body    []byte
	problem problem
}

// problem is the part of a refusal that scripts look at.
type problem struct {
	Reason  string `json:"reason"`
	Outcome string `json:"outcome"`
	Row     string `json:"row"`
	Token   string `json:"explanation_token"`
}

// call sends a request and returns without waiting for its answer.
func (w *world) call(id string, o options) error {
	if len(o.rest) < 1 || w.calls[id] != nil {
		return merry.Prepend(ErrScript, "call ID model|plain [stream] [name=value ...], with a new ID")
	}
	via, err := w.entry(o)
	if err != nil {
		return err
	}
	e := w.sys.Entry(via)
	if e == nil {
		return merry.Prependf(ErrScript, "%s doesn't run", via)
	}
	c := &call{id: id, runKey: id, entry: via, model: o.rest[0] == "model", done: make(chan struct{})}
	if k := o.values["run"]; k != "" {
		c.runKey = k
	}
	for _, word := range o.rest[1:] {
		c.stream = c.stream || word == "stream"
	}
	c.tokens = o.number("tokens", 4)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	c.cancel = cancel
	c.runsBefore = w.runs(c.runKey)
	req, err := w.request(ctx, c, "http://"+e.CallerAddress(), o)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.calls[id] = c
	w.order = append(w.order, c)
	w.mu.Unlock()
	go w.carry(c, req)
	return nil
}

func (w *world) request(ctx context.Context, c *call, base string, o options) (*http.Request, error) {
	layout := w.sys.Layout()
	c.path = o.values["path"]
	url, body := base+"/services/"+layout.PlainService+c.path, "{}"
	if c.path == "" {
		c.path = "/confirm"
		url += c.path
	}
	if c.model {
		url = base + "/v1/chat/completions"
		body = fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
			layout.ModelService, c.stream, c.tokens, "a note of "+c.runKey)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+quickstart.TeamKey)
	req.Header.Set(fake.HeaderRunKey, c.runKey)
	for option, header := range map[string]string{
		"key": "Idempotency-Key", "priority": "X-Priority", "timeout": "X-Timeout-Ms", "idempotent": "X-Idempotent",
	} {
		if v := o.values[option]; v != "" {
			req.Header.Set(header, v)
		}
	}
	if v := o.values["bearer"]; v != "" {
		req.Header.Set("Authorization", "Bearer "+v)
	}
	return req, nil
}

func (w *world) carry(c *call, req *http.Request) {
	defer close(c.done)
	defer c.cancel()
	resp, err := w.client.Do(req)
	if err != nil {
		c.err = err
		return
	}
	defer resp.Body.Close()
	c.status, c.header = resp.StatusCode, resp.Header
	c.body, c.err = io.ReadAll(resp.Body)
	if resp.Header.Get("Content-Type") == "application/problem+json" {
		_ = json.Unmarshal(c.body, &c.problem)
	}
}

// answered waits for a call's end.
func (w *world) answered(id string) (*call, error) {
	w.mu.Lock()
	c := w.calls[id]
	w.mu.Unlock()
	if c == nil {
		return nil, merry.Prependf(ErrScript, "no call %q", id)
	}
	<-c.done
	return c, nil
}

// seen describes what the caller saw, by the words that expect takes.
func (c *call) seen(name string) string {
	switch name {
	case "status":
		return strconv.Itoa(c.status)
	case "outcome":
		return c.problem.Outcome
	case "reason":
		return c.problem.Reason
	case "row":
		return c.problem.Row
	case "replayed":
		if c.header.Get("Idempotent-Replayed") == "true" {
			return "yes"
		}
		return "no"
	case "retry-after":
		if c.header.Get("Retry-After") != "" {
			return "yes"
		}
		return "no"
	case "answer":
		return c.answer()
	}
	return ""
}

// answer is whole, cut (it began and broke off), none, or refused.
func (c *call) answer() string {
	switch {
	case c.status == 0:
		return "none"
	case c.err != nil:
		return "cut"
	case c.status != http.StatusOK:
		return "refused"
	}
	return "whole"
}

func (c *call) String() string {
	return fmt.Sprintf("call %s via %s: status %d, answer %s, outcome %q, reason %q, err %v, body %.300q",
		c.id, c.entry, c.status, c.answer(), c.problem.Outcome, c.problem.Reason, c.err, c.body)
}

// expect compares what a caller saw; alternatives are separated by "|".
func (w *world) expect(id string, o options) error {
	c, err := w.answered(id)
	if err != nil {
		return err
	}
	for name, want := range o.values {
		got := c.seen(name)
		ok := false
		for _, alternative := range strings.Split(want, "|") {
			ok = ok || got == alternative
		}
		if !ok {
			return merry.Prependf(errOther, "%s is %q, not %q: %s", name, got, want, c)
		}
	}
	return nil
}

var errOther = merry.Sentinel("caller saw something else")

// explain asks an entry, maybe another one, about a refusal.
func (w *world) explain(id string, o options) error {
	c, err := w.answered(id)
	if err != nil {
		return err
	}
	via, err := w.entry(o)
	if err != nil {
		return err
	}
	resp, err := w.client.Get("http://" + w.sys.Entry(via).CallerAddress() + "/v1/refusals/" + c.problem.Token)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var told problem
	if err := json.NewDecoder(resp.Body).Decode(&told); err != nil {
		return err
	}
	told.Token = c.problem.Token
	if resp.StatusCode != http.StatusOK || told != c.problem {
		return merry.Prependf(errOther, "explained as %+v with status %d: %s", told, resp.StatusCode, c)
	}
	return nil
}

// whole says what is wrong with an answer that came with status 200.
func (c *call) whole(modelTokens int) string {
	if c.err != nil {
		return "broke off: " + c.err.Error()
	}
	if !c.model {
		var a fake.PlainAnswer
		if err := json.Unmarshal(c.body, &a); err != nil || a.Key != c.runKey || a.Path != c.path {
			return "is not the answer to this request"
		}
		return ""
	}
	text := string(c.body)
	if c.stream && !strings.Contains(text, "data: [DONE]") {
		return "has no end"
	}
	at := 0
	for n := range modelTokens {
		token := c.runKey + ":" + strconv.Itoa(n) + " "
		i := strings.Index(text[at:], token)
		if i < 0 {
			return "lacks token " + token
		}
		at += i + len(token)
	}
	if strings.Count(text, c.runKey+":") != modelTokens {
		return "holds tokens twice"
	}
	return ""
}
