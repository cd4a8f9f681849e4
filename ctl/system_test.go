package ctl_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/ctl"
	"github.com/snipereach/snipereach/quickstart"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

// refusedCall sends a call with a priority above the team's max_priority, and
// returns the response body. The script must have lowered max_priority first.
func (s *script) refusedCall() (string, error) {
	return callEntry(s.system, `{"model":"pushpa-lm"}`, "X-Priority", "urgent")
}

func callEntry(s *quickstart.System, body string, headers ...string) (string, error) {
	req, err := http.NewRequest("POST", "http://"+s.Entries[0].CallerAddress()+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return "", err
	}
	req.Header.Set("Authorization", "Bearer "+quickstart.TeamKey)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode >= 500 {
		err = fmt.Errorf("%s: %s", resp.Status, text)
	}
	return string(text), err
}

func start(t *testing.T, opts quickstart.Options) *quickstart.System {
	t.Helper()
	opts.Log = log.NewNopLogger()
	s, err := quickstart.Start(context.Background(), opts)
	assert.NilError(t, err)
	t.Cleanup(s.Stop)
	assert.NilError(t, s.WaitReady(context.Background()))
	return s
}

func runCtlAt(s *quickstart.System, entry int, args ...string) (code int, out string) {
	var text strings.Builder
	all := append([]string{"--server", "http://" + s.Entries[entry].OperatorAddress(), "--key", quickstart.OperatorKey}, args...)
	return ctl.Main(all, strings.NewReader(""), &text, &text), text.String()
}

func waitFor(t *testing.T, cond func() bool) {
	t.Helper()
	for range 1000 {
		if cond() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("condition did not come true")
}

// startedRuns counts the requests that engines have begun, including finished ones.
func startedRuns(s *quickstart.System) int {
	n := 0
	for _, e := range s.Engines {
		n += len(e.Runs())
	}
	return n
}

const longCall = `{"model":"pushpa-lm","max_tokens":150,"messages":[{"role":"user","content":"a lot of jasmine"}]}`

// Draining an upstream must not interrupt its requests. Once the command returns,
// the upstream must begin no request: its agent refuses those of entries that
// don't know of the drain yet.
func TestUpstreamDrainCompletesRequests(t *testing.T) {
	s := start(t, quickstart.Options{Engines: 2})
	got := make(chan error, 8)
	for range 8 {
		go func() { _, err := callEntry(s, longCall); got <- err }()
	}
	waitFor(t, func() bool { return startedRuns(s) == 8 && len(s.Engines[0].Runs()) > 0 })
	code, out := runCtlAt(s, 1, "drain", "lm-1")
	assert.Equal(t, code, 0, out)
	assert.Assert(t, strings.Contains(out, "lm-1"), out)
	began := len(s.Engines[0].Runs())
	for range 16 {
		_, err := callEntry(s, strings.Replace(longCall, "150", "1", 1))
		assert.NilError(t, err)
	}
	for range 8 {
		assert.NilError(t, <-got)
	}
	assert.Equal(t, len(s.Engines[0].Runs()), began)
	waitFor(t, func() bool {
		_, out := runCtlAt(s, 0, "status", "-o", "tsv")
		return strings.Contains(out, "lm-1\tleaving\tlm\t0\t0")
	})
}

// Draining an entry must not interrupt its requests. The entry must leave the list
// of entries, serve callers that still hold an old list, and answer a state dump
// after the drain.
func TestEntryDrainCompletesRequests(t *testing.T) {
	s := start(t, quickstart.Options{EntryListTTL: time.Second})
	got := make(chan error, 4)
	for range 4 {
		go func() { _, err := callEntry(s, strings.Replace(longCall, "150", "800", 1)); got <- err }()
	}
	waitFor(t, func() bool { return startedRuns(s) == 4 })
	code, out := runCtlAt(s, 2, "drain", "entry-1")
	assert.Equal(t, code, 0, out)
	_, err := callEntry(s, strings.Replace(longCall, "150", "1", 1))
	assert.NilError(t, err, "callers with an old list of entries must be served")
	waitFor(t, func() bool {
		_, out := runCtlAt(s, 1, "status", "-o", "tsv")
		return !strings.Contains(out, "entry-1\tup\ttrue")
	})
	for range 4 {
		assert.NilError(t, <-got)
	}
	assert.NilError(t, s.Entries[0].Drain(context.Background()))
	code, out = runCtlAt(s, 0, "dump")
	assert.Equal(t, code, 0, out)
	assert.Assert(t, strings.Contains(out, `"draining": true`), out)
}

// A peer without the cluster's secret must not be able to dump or drain a process.
func TestPeersWithoutSecretAreRefused(t *testing.T) {
	s := start(t, quickstart.Options{})
	pool := transport.NewPool(transport.Security{Secret: []byte("another cluster's secret")})
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for _, address := range []string{s.Entries[0].InternalAddress(), s.Agents[0].Address()} {
		conn := pool.Conn(ctx, address)
		_, err := wire.NewDRPCProcessClient(conn).Dump(ctx, &wire.DumpRequest{})
		assert.Assert(t, err != nil, address)
		_, err = wire.NewDRPCEntryClient(conn).Drain(ctx, &wire.DrainRequest{By: "stranger"})
		assert.Assert(t, err != nil, address)
		_, err = wire.NewDRPCAgentClient(conn).Drain(ctx, &wire.DrainRequest{By: "stranger"})
		assert.Assert(t, err != nil, address)
	}
	_, out := runCtlAt(s, 0, "status", "-o", "tsv")
	assert.Assert(t, strings.Contains(out, "entry-1\tup\ttrue"), out)
	assert.Assert(t, strings.Contains(out, "lm-1\tup"), out)
}
