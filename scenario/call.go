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

// call is one request of a caller and its result.
type call struct {
	id, runKey, entry string
	model, stream     bool
	tokens            int
	path              string
	runsBefore        int
	cancel            context.CancelFunc
	done              chan struct{}

	// The result as the caller saw it; valid once done is closed.
	err     error
	status  int
	header  http.Header
	body    []byte
	problem problem
}

// problem holds the fields of a refusal that scripts can check.
type problem struct {
	Reason  string `json:"reason"`
	Outcome string `json:"outcome"`
	Row     string `json:"row"`
	Token   string `json:"explanation_token"`
}

// startCall sends a request and returns without waiting for its answer.
func (w *world) startCall(id string, o options) error {
	if len(o.positional) < 1 || w.calls[id] != nil {
		return merry.Prepend(ErrScript, "call ID model|plain [stream] [name=value ...], with a new ID")
	}
	via, err := w.pickEntry(o)
	if err != nil {
		return err
	}
	e := w.sys.Entry(via)
	if e == nil {
		return merry.Prependf(ErrScript, "%s is not running", via)
	}
	c := &call{id: id, runKey: id, entry: via, model: o.positional[0] == "model", done: make(chan struct{})}
	if k := o.values["run"]; k != "" {
		c.runKey = k
	}
	for _, word := range o.positional[1:] {
		c.stream = c.stream || word == "stream"
	}
	c.tokens = o.intValue("tokens", 4)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	c.cancel = cancel
	c.runsBefore = w.runCount(c.runKey)
	req, err := w.newCallRequest(ctx, c, "http://"+e.CallerAddress(), o)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.calls[id] = c
	w.callOrder = append(w.callOrder, c)
	w.mu.Unlock()
	go w.doCall(c, req)
	return nil
}

func (w *world) newCallRequest(ctx context.Context, c *call, base string, o options) (*http.Request, error) {
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

func (w *world) doCall(c *call, req *http.Request) {
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

// waitCall waits until a call has ended and returns it.
func (w *world) waitCall(id string) (*call, error) {
	w.mu.Lock()
	c := w.calls[id]
	w.mu.Unlock()
	if c == nil {
		return nil, merry.Prependf(ErrScript, "no call %q", id)
	}
	<-c.done
	return c, nil
}

// property returns the value of a result property named in an expect command, or
// "" if the name is unknown.
func (c *call) property(name string) string {
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
		return c.answerState()
	}
	return ""
}

// answerState returns "whole", "cut" (the answer began and broke off), "none" or
// "refused".
func (c *call) answerState() string {
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
		c.id, c.entry, c.status, c.answerState(), c.problem.Outcome, c.problem.Reason, c.err, c.body)
}

// expectCall compares a call's result with the expected values; alternatives are
// separated by "|".
func (w *world) expectCall(id string, o options) error {
	c, err := w.waitCall(id)
	if err != nil {
		return err
	}
	for name, want := range o.values {
		got := c.property(name)
		ok := false
		for _, alternative := range strings.Split(want, "|") {
			ok = ok || got == alternative
		}
		if !ok {
			return merry.Prependf(errMismatch, "%s is %q, not %q: %s", name, got, want, c)
		}
	}
	return nil
}

var errMismatch = merry.Sentinel("unexpected result")

// checkExplanation looks up a refusal by its token at an entry, which may differ
// from the one that refused, and compares the explanation with the refusal.
func (w *world) checkExplanation(id string, o options) error {
	c, err := w.waitCall(id)
	if err != nil {
		return err
	}
	via, err := w.pickEntry(o)
	if err != nil {
		return err
	}
	resp, err := w.client.Get("http://" + w.sys.Entry(via).CallerAddress() + "/v1/refusals/" + c.problem.Token)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var explanation problem
	if err := json.NewDecoder(resp.Body).Decode(&explanation); err != nil {
		return err
	}
	explanation.Token = c.problem.Token
	if resp.StatusCode != http.StatusOK || explanation != c.problem {
		return merry.Prependf(errMismatch, "explained as %+v with status %d: %s", explanation, resp.StatusCode, c)
	}
	return nil
}

// checkAnswer returns what is wrong with an answer that came with status 200, or
// "" if it is complete and belongs to this request.
func (c *call) checkAnswer(modelTokens int) string {
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
		return "lacks the final [DONE] event"
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
		return "holds duplicate tokens"
	}
	return ""
}
