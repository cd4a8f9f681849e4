package load

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/fake"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/quickstart"
)

// naiveEntry is an entry that forwards requests without any safeguards.
type naiveEntry struct {
	upstream string
	// override, if set, handles requests in place of forward.
	override func(e *naiveEntry, w http.ResponseWriter, r *http.Request)
	list     []string
}

func (e *naiveEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/entries":
		list := `{"keep_seconds":1,"entries":[`
		for i, a := range e.list {
			list += strings.Repeat(",", min(i, 1)) + `{"address":` + strconv.Quote(a) + `}`
		}
		_, _ = io.WriteString(w, list+`]}`)
	case e.override != nil:
		e.override(e, w, r)
	default:
		writeBody(w, e.forward(r))
	}
}

// forward returns the upstream's answer, or panics to abort the response.
func (e *naiveEntry) forward(r *http.Request) []byte {
	path := strings.TrimPrefix(r.URL.Path, "/services/clock")
	req, _ := http.NewRequest(r.Method, e.upstream+path, strings.NewReader("{}"))
	req.Header.Set(fake.HeaderRunKey, r.Header.Get(fake.HeaderRunKey))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return body
}

func writeBody(w http.ResponseWriter, body []byte) { _, _ = w.Write(body) }

// swapAnswers returns a handler that pairs up callers and swaps their answers.
func swapAnswers() func(*naiveEntry, http.ResponseWriter, *http.Request) {
	pairs := make(chan [2]chan []byte)
	return func(e *naiveEntry, w http.ResponseWriter, r *http.Request) {
		mine := e.forward(r)
		ends := [2]chan []byte{make(chan []byte, 1), make(chan []byte, 1)}
		select {
		case pairs <- ends:
			ends[0] <- mine
			writeBody(w, <-ends[1])
		case ends = <-pairs:
			ends[1] <- mine
			writeBody(w, <-ends[0])
		case <-time.After(time.Second):
			writeBody(w, mine) // an odd last request has no partner
		}
	}
}

func signalSettings(addresses ...string) *Settings {
	s := testSettings()
	s.Entries = addresses[:1]
	s.Class = s.Class[:1]
	s.Class[0].Rate, s.Class[0].Resends = 100, 0
	s.Duration, s.Drain = kernel.Duration(400*time.Millisecond), kernel.Duration(30*time.Second)
	s.Class[0].Timeout = kernel.Duration(20 * time.Second)
	return s
}

func runLoad(t *testing.T, s *Settings, runs func() map[string]int) *Report {
	t.Helper()
	assert.NilError(t, s.Check())
	r, err := NewRunner(s, Options{Runs: runs})
	assert.NilError(t, err)
	rep, err := r.Run(context.Background())
	assert.NilError(t, err)
	return rep
}

// runThroughNaiveEntries runs signalSettings through two naive entries.
func runThroughNaiveEntries(t *testing.T, override func(*naiveEntry, http.ResponseWriter, *http.Request), fault func(*http.Request) fake.Fault, resends int) *Report {
	t.Helper()
	up := &fake.Plain{}
	assert.NilError(t, up.Start())
	defer up.Close()
	up.SetFault(fault)
	e := &naiveEntry{upstream: up.URL(), override: override}
	for range 2 {
		srv := httptest.NewServer(e)
		defer srv.Close()
		e.list = append(e.list, srv.Listener.Addr().String())
	}
	s := signalSettings(e.list...)
	s.Class[0].Resends = resends
	return runLoad(t, s, up.Runs)
}

// The report must identify each fault that an entry without safeguards can cause,
// and must be clean when there is none.
func TestReportDetectsFaultsOfNaiveEntry(t *testing.T) {
	every := func(f fake.Fault) func(*http.Request) fake.Fault {
		return func(*http.Request) fake.Fault { return f }
	}
	rep := runThroughNaiveEntries(t, nil, nil, 0)
	assert.Assert(t, rep.Clean())
	sent := rep.Audit.Requests
	assert.Assert(t, sent > 20)
	assert.Equal(t, rep.Classes[0].Verdicts[Whole], sent)

	rep = runThroughNaiveEntries(t, swapAnswers(), nil, 0)
	assert.Assert(t, rep.Audit.Crossed > 0 && !rep.Clean())
	assert.Equal(t, rep.Classes[0].Verdicts[Crossed], rep.Audit.Crossed)

	rep = runThroughNaiveEntries(t, func(e *naiveEntry, w http.ResponseWriter, r *http.Request) {
		_ = e.forward(r)
		writeBody(w, e.forward(r))
	}, nil, 0)
	assert.Equal(t, rep.Audit.Doubled, sent)
	assert.Assert(t, !rep.Clean())

	rep = runThroughNaiveEntries(t, func(e *naiveEntry, w http.ResponseWriter, r *http.Request) {
		b := e.forward(r)
		writeBody(w, append(b, b...))
	}, nil, 0)
	assert.Equal(t, rep.Classes[0].Verdicts[Doubled], sent)
	assert.Assert(t, !rep.Clean())

	rep = runThroughNaiveEntries(t, func(e *naiveEntry, w http.ResponseWriter, r *http.Request) {
		b := e.forward(r)
		writeBody(w, b[:len(b)/2])
	}, nil, 0)
	assert.Equal(t, rep.Classes[0].Verdicts[Cut], sent)
	assert.Assert(t, !rep.Clean())

	rep = runThroughNaiveEntries(t, func(e *naiveEntry, w http.ResponseWriter, r *http.Request) {
		_ = e.forward(r)
		w.Header().Set("Content-Type", "application/problem+json")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"reason":"queue-full","outcome":"not-run"}`)
	}, nil, 0)
	assert.Equal(t, rep.Audit.WrongNotRun, sent)
	assert.Equal(t, rep.Classes[0].Reasons["not-run queue-full"], sent)
	assert.Assert(t, !rep.Clean())

	rep = runThroughNaiveEntries(t, func(_ *naiveEntry, w http.ResponseWriter, r *http.Request) {
		kernel.WriteJSON(w, http.StatusOK, fake.PlainAnswer{
			Key: r.Header.Get(fake.HeaderRunKey), Method: r.Method, Path: strings.TrimPrefix(r.URL.Path, "/services/clock"),
		})
	}, nil, 0)
	assert.Equal(t, rep.Audit.AnsweredWithoutRun, sent)
	assert.Assert(t, !rep.Clean())

	// Lost answers: the outcome is unknown, which is no violation.
	for _, f := range []fake.Fault{fake.FaultCloseAfterRun, fake.FaultTruncate} {
		rep = runThroughNaiveEntries(t, nil, every(f), 0)
		assert.Equal(t, rep.Audit.Lost, sent)
		assert.Equal(t, rep.Classes[0].Outcomes[Unknown], sent)
		assert.Assert(t, rep.Audit.LostRan > 0 && rep.Clean())
	}

	// Redirects are not followed.
	away := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("a redirect was followed") }))
	defer away.Close()
	rep = runThroughNaiveEntries(t, func(_ *naiveEntry, w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, away.URL, http.StatusFound)
	}, nil, 0)
	assert.Equal(t, rep.Classes[0].Reasons["unknown status-302"], sent)

	// An entry that ignores idempotency keys runs a resent request twice.
	rep = runThroughNaiveEntries(t, nil, every(fake.FaultCloseAfterRun), 1)
	assert.Equal(t, rep.Audit.Doubled, sent)
	assert.Equal(t, rep.Classes[0].Resent, sent)
	assert.Assert(t, !rep.Clean())
}

// The real system must keep the report clean while its upstreams abort requests,
// truncate answers and mix them up: no request that may not be repeated runs
// twice, no caller gets another's answer, and no "not run" is wrong.
func TestReportIsCleanUnderUpstreamFaults(t *testing.T) {
	sys, err := quickstart.Start(context.Background(), quickstart.Options{Log: log.NewNopLogger(), Plains: 2})
	assert.NilError(t, err)
	defer sys.Stop()
	assert.NilError(t, sys.WaitReady(context.Background()))
	var n atomic.Int64
	fault := func(*http.Request) fake.Fault {
		return []fake.Fault{
			fake.FaultNone, fake.FaultNone, fake.FaultCloseBeforeRun, fake.FaultNone,
			fake.FaultCloseAfterRun, fake.FaultTruncate, fake.FaultNone, fake.FaultCrossed,
		}[n.Add(1)%8]
	}
	runs := func() map[string]int {
		total := map[string]int{}
		for _, p := range sys.Plains {
			addRuns(total, p.Runs())
		}
		for _, e := range sys.Engines {
			addRuns(total, e.Runs())
		}
		return total
	}
	for _, p := range sys.Plains {
		p.SetFault(fault)
	}
	for _, e := range sys.Engines {
		e.SetFault(fault)
	}
	s := signalSettings(sys.Entries[0].CallerAddress())
	s.Team = []Team{{Name: "growers", Key: quickstart.TeamKey}}
	s.Class[0].Teams, s.Class[0].Target, s.Class[0].Resends = nil, "clock-core", 2
	s.Class = append(s.Class, Class{
		Name: "texts", Kind: KindEngine, Target: "pushpa-lm", Rate: 30, Idempotent: true, Stream: true,
		MinTokens: 2, MaxTokens: 6, Prefixes: 2, PrefixChars: 50, Resends: 2, Timeout: kernel.Duration(5 * time.Second),
	}, Class{
		Name: "unkeyed", Kind: KindPlain, Target: "clock-core", Path: "/scan/{n}", Rate: 30, Timeout: kernel.Duration(2 * time.Second),
	})
	s.Duration = kernel.Duration(2 * time.Second)
	rep := runLoad(t, s, runs)
	assert.Assert(t, rep.Clean(), "%+v", rep.Audit)
	assert.Assert(t, rep.Classes[0].Resent > 0 && rep.Classes[0].Outcomes[Answered] > 0, "%+v", rep.Classes[0])
	assert.Assert(t, rep.Classes[1].Outcomes[Answered] > 0, "%+v", rep.Classes[1])
	assert.Equal(t, rep.Classes[2].Resent, 0)
	assert.Assert(t, rep.Classes[2].Outcomes[Unknown] > 0, "%+v", rep.Classes[2])
	assert.Assert(t, rep.WriteTable(io.Discard) == nil && rep.WriteJSON(io.Discard) == nil && rep.WritePlot(io.Discard) == nil)
}
