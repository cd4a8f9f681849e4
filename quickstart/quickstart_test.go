package quickstart

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/fake"
)

func startSystem(t *testing.T, opts Options) *System {
	t.Helper()
	opts.Log = log.NewNopLogger()
	s, err := Start(context.Background(), opts)
	assert.NilError(t, err)
	t.Cleanup(s.Stop)
	assert.NilError(t, s.WaitReady(context.Background()))
	return s
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func callFirstEntry(s *System, method, path, body string, header map[string]string) reply {
	return callEntry(s, 0, method, path, body, header)
}

func callEntry(s *System, n int, method, path, body string, header map[string]string) reply {
	req, _ := http.NewRequest(method, "http://"+s.Entries[n].CallerAddress()+path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+TeamKey)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(text), err: err}
}

// slowMachineTimeout is the deadline of waits and requests whose result must not
// depend on the machine's speed.
const slowMachineTimeout = 45 * time.Second

// retryUntilServed resends a request that is refused as not run with a Retry-After,
// and returns any other result. On a busy machine an upstream's lease may expire and
// cause such refusals.
func retryUntilServed(send func() reply) reply {
	for end := time.Now().Add(slowMachineTimeout); ; time.Sleep(20 * time.Millisecond) {
		r := send()
		var p problem
		_ = json.Unmarshal([]byte(r.body), &p)
		if r.err != nil || p.Outcome != "not-run" || r.header.Get("Retry-After") == "" || time.Now().After(end) {
			return r
		}
	}
}

type problem struct {
	Reason  string `json:"reason"`
	Outcome string `json:"outcome"`
	Token   string `json:"explanation_token"`
}

func problemOf(t *testing.T, r reply) problem {
	t.Helper()
	assert.NilError(t, r.err)
	assert.Equal(t, r.header.Get("Content-Type"), "application/problem+json")
	var p problem
	assert.NilError(t, json.Unmarshal([]byte(r.body), &p))
	return p
}

const modelBody = `{"model":"pushpa-lm","max_tokens":4,"messages":[{"role":"user","content":"a lot of jasmine"}]}`

func TestEachCallerGetsItsOwnAnswer(t *testing.T) {
	t.Parallel()
	s := startSystem(t, Options{})
	for n := range s.Entries {
		key := fmt.Sprintf("caller-%d", n)
		r := callEntry(s, n, "POST", "/v1/chat/completions", modelBody, map[string]string{fake.HeaderRunKey: key})
		assert.NilError(t, r.err)
		assert.Equal(t, r.status, 200, r.body)
		assert.Assert(t, strings.Contains(r.body, key+":3 "), r.body)
	}
	r := callFirstEntry(s, "PUT", "/services/clock-core/lots/17/confirm?lane=2", "{}", map[string]string{fake.HeaderRunKey: "bid"})
	assert.Equal(t, r.status, 200, r.body)
	var a fake.PlainAnswer
	assert.NilError(t, json.Unmarshal([]byte(r.body), &a))
	assert.Equal(t, a, fake.PlainAnswer{Key: "bid", Method: "PUT", Path: "/lots/17/confirm", Query: "lane=2"})
}

func TestStreamHasEveryToken(t *testing.T) {
	t.Parallel()
	s := startSystem(t, Options{})
	body := strings.Replace(modelBody, `"max_tokens":4`, `"max_tokens":5,"stream":true`, 1)
	r := callFirstEntry(s, "POST", "/v1/chat/completions", body, map[string]string{fake.HeaderRunKey: "k"})
	assert.NilError(t, r.err)
	sc := bufio.NewScanner(strings.NewReader(r.body))
	var data []string
	for sc.Scan() {
		if line, ok := strings.CutPrefix(sc.Text(), "data: "); ok {
			data = append(data, line)
		}
	}
	assert.Equal(t, len(data), 6, r.body)
	assert.Equal(t, data[5], "[DONE]")
}

// The explanation token of a refusal must be enough for another entry to explain it
// after the refusing entry died, and a modified token must be rejected.
func TestOtherEntryExplainsRefusalAfterEntryDies(t *testing.T) {
	t.Parallel()
	s := startSystem(t, Options{})
	p := problemOf(t, callFirstEntry(s, "POST", "/v1/chat/completions", `{"model":"nobody"}`, nil))
	assert.Equal(t, p.Reason, "unknown-service")
	assert.Equal(t, p.Outcome, "not-run")
	s.Entries[0].Stop()
	r := callEntry(s, 1, "GET", "/v1/refusals/"+p.Token, "", nil)
	assert.Equal(t, r.status, 200, r.body)
	assert.Assert(t, strings.Contains(r.body, `"entry": "entry-1"`), r.body)
	forged := "A" + p.Token[1:]
	if p.Token[0] == 'A' {
		forged = "B" + p.Token[1:]
	}
	assert.Equal(t, callEntry(s, 1, "GET", "/v1/refusals/"+forged, "", nil).status, 400)
}

// Whenever an upstream fails during a request that must not run twice, the request
// runs at most once, and the caller gets a refusal with a true outcome instead of a
// partial answer.
func TestUpstreamFailureOutcomes(t *testing.T) {
	t.Parallel()
	s := startSystem(t, Options{})
	for _, c := range []struct {
		fault   fake.Fault
		runs    int
		outcome string
		reason  string
	}{
		{fake.FaultCloseBeforeRun, 0, "unknown", "upstream-failed"},
		{fake.FaultCloseAfterRun, 1, "unknown", "upstream-failed"},
		{fake.FaultTruncate, 1, "unknown", "answer-invalid"},
		{fake.FaultCrossed, 1, "unknown", "answer-invalid"},
	} {
		key := fmt.Sprintf("fault-%d", c.fault)
		s.Plains[0].SetFault(func(*http.Request) fake.Fault { return c.fault })
		p := problemOf(t, callFirstEntry(s, "POST", "/services/clock-core/bid", "{}", map[string]string{fake.HeaderRunKey: key}))
		assert.Equal(t, p.Outcome, c.outcome, key)
		assert.Equal(t, p.Reason, c.reason, key)
		assert.Equal(t, s.Plains[0].Runs()[key], c.runs, key)
	}
	s.Plains[0].Close()
	p := problemOf(t, callFirstEntry(s, "POST", "/services/clock-core/bid", "{}", map[string]string{fake.HeaderRunKey: "closed"}))
	assert.Equal(t, p.Outcome, "not-run", "connection refused, so the request cannot have run")
}

// A drained agent must finish its in-flight requests, and new ones must go to the
// other upstreams.
func TestAgentDrainFinishesInFlightRequests(t *testing.T) {
	t.Parallel()
	s := startSystem(t, Options{Engines: 2})
	slow := strings.Replace(modelBody, `"max_tokens":4`, `"max_tokens":100`, 1)
	got := make(chan reply, 8)
	for range 8 {
		go func() { got <- callFirstEntry(s, "POST", "/v1/chat/completions", slow, nil) }()
	}
	waitFor(t, func() bool { return len(s.Engines[0].Runs()) > 0 })
	assert.NilError(t, s.Agents[0].Drain(context.Background()))
	before := len(s.Engines[0].Runs())
	for range 8 {
		r := <-got
		assert.NilError(t, r.err)
		assert.Equal(t, r.status, 200, r.body)
	}
	for range 8 {
		assert.Equal(t, callFirstEntry(s, "POST", "/v1/chat/completions", modelBody, nil).status, 200)
	}
	assert.Equal(t, len(s.Engines[0].Runs()), before)
}

// A request with an idempotency key that is resent through all entries, while it
// runs and afterwards, must run once, and each attempt must get the same answer.
func TestIdempotencyKeyRunsOnceAcrossEntries(t *testing.T) {
	t.Parallel()
	s := startSystem(t, Options{})
	send := func(n int, body string) reply {
		return callEntry(s, n, "POST", "/services/clock-core/lots/17/confirm", body,
			map[string]string{"Idempotency-Key": "bid-17", fake.HeaderRunKey: "bid-17"})
	}
	got := make(chan reply, 9)
	for i := range 9 {
		go func() { got <- retryUntilServed(func() reply { return send(i%3, "{}") }) }()
	}
	for range 9 {
		r := <-got
		assert.NilError(t, r.err)
		assert.Equal(t, r.status, 200, r.body)
		assert.Assert(t, strings.Contains(r.body, `"key":"bid-17"`))
	}
	again := retryUntilServed(func() reply { return send(1, "{}") })
	assert.Equal(t, again.header.Get("Idempotent-Replayed"), "true")
	assert.Equal(t, s.Plains[0].Runs()["bid-17"], 1)
	other := problemOf(t, send(2, `{"lane":2}`))
	assert.Equal(t, other.Outcome, "not-run")
	assert.Equal(t, s.Plains[0].Runs()["bid-17"], 1)
}

// A keyed request of unknown outcome must stay unknown when it is resent through
// another entry, and must not run again. A request that did not reach an upstream
// must be refused as not run.
func TestResendAfterUnknownOutcomeDoesNotRunAgain(t *testing.T) {
	t.Parallel()
	s := startSystem(t, Options{})
	send := func(n int, key string) reply {
		return callEntry(s, n, "POST", "/services/clock-core/confirm", "{}",
			map[string]string{"Idempotency-Key": key, fake.HeaderRunKey: key})
	}
	s.Plains[0].SetFault(func(*http.Request) fake.Fault { return fake.FaultCloseAfterRun })
	// On a busy machine an attempt may be refused before it reaches the upstream
	// (expired lease or deadline). It is then correctly reported as not run.
	key := ""
	waitFor(t, func() bool {
		key += "a"
		p := problemOf(t, send(0, key))
		ran := s.Plains[0].Runs()[key]
		assert.Equal(t, p.Outcome == "unknown", ran == 1, "%s: %s, ran %d times", key, p.Reason, ran)
		return ran == 1
	})
	s.Plains[0].SetFault(nil)
	assert.Equal(t, problemOf(t, send(1, key)).Outcome, "unknown")
	assert.Equal(t, s.Plains[0].Runs()[key], 1)
	s.Agents[3].Leave(context.Background())
	waitFor(t, func() bool { return s.Entries[2].UpstreamCounts()["clock"] == 0 })
	assert.Equal(t, problemOf(t, send(2, "b")).Outcome, "not-run")
	assert.Equal(t, s.Plains[0].Runs()["b"], 0)
}

func waitFor(t *testing.T, cond func() bool) {
	t.Helper()
	for range 500 {
		if cond() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("timed out waiting for a condition")
}

// Requests above a team's rate limit must be refused as not run, with the limiting
// row and a Retry-After. The team's other service must not be affected.
func TestTeamOverRateLimitIsRefused(t *testing.T) {
	t.Parallel()
	s := startSystem(t, Options{Rows: Idukki().rows(defaultPlainSlots, slowMachineTimeout) + "limit\tgrowers/clock-core\trequests_per_second=5\n"})
	refused, served := 0, 0
	for i := 0; i < 2000 && (i < 60 || served == 0); i++ {
		time.Sleep(5 * time.Millisecond)
		key := fmt.Sprintf("n%d", i)
		r := callEntry(s, i%3, "POST", "/services/clock-core/ping", "{}", map[string]string{fake.HeaderRunKey: key})
		if r.status == 200 {
			served++
			continue
		}
		refused++
		p := problemOf(t, r)
		assert.Equal(t, p.Reason, "rate-limit")
		assert.Equal(t, p.Outcome, "not-run")
		assert.Assert(t, strings.Contains(r.body, `"row":"limit growers/clock-core"`), r.body)
		assert.Assert(t, r.header.Get("Retry-After") != "")
		assert.Equal(t, s.Plains[0].Runs()[key], 0)
	}
	assert.Assert(t, refused > 0 && served > 0, "%d refused, %d served", refused, served)
	assert.Equal(t, callFirstEntry(s, "POST", "/v1/chat/completions", modelBody, nil).status, 200)
}
