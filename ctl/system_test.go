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

// refusedCall asks for a priority that the team's row doesn't allow: it is made
// batch first.
func (s *script) refusedCall() (string, error) {
	return call(s.system, `{"model":"pushpa-lm"}`, "X-Priority", "urgent")
}

func call(s *quickstart.System, body string, headers ...string) (string, error) {
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

func command(s *quickstart.System, entry int, args ...string) (code int, out string) {
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

// running counts the requests that have begun at any engine.
func running(s *quickstart.System) int {
	n := 0
	for _, e := range s.Engines {
		n += len(e.Runs())
	}
	return n
}

const longCall = `{"model":"pushpa-lm","max_tokens":150,"messages":[{"role":"user","content":"a lot of jasmine"}]}`

// An operator drains an upstream that runs requests. Each caller gets the whole
// answer; from the command's answer on the upstream is given nothing, because
// its agent refuses what entries that have not heard yet send it.
func TestDrainOfAnUpstreamCutsNothing(t *testing.T) {
	s := start(t, quickstart.Options{Engines: 2})
	got := make(chan error, 8)
	for range 8 {
		go func() { _, err := call(s, longCall); got <- err }()
	}
	waitFor(t, func() bool { return running(s) == 8 && len(s.Engines[0].Runs()) > 0 })
	code, out := command(s, 1, "drain", "lm-1")
	assert.Equal(t, code, 0, out)
	assert.Assert(t, strings.Contains(out, "lm-1"), out)
	began := len(s.Engines[0].Runs())
	for range 16 {
		_, err := call(s, strings.Replace(longCall, "150", "1", 1))
		assert.NilError(t, err)
	}
	for range 8 {
		assert.NilError(t, <-got)
	}
	assert.Equal(t, len(s.Engines[0].Runs()), began)
	waitFor(t, func() bool {
		_, out := command(s, 0, "status", "-o", "tsv")
		return strings.Contains(out, "lm-1\tleaving\tlm\t0\t0")
	})
}

// An operator drains an entry while it answers. It leaves the list of entries
// at once, a caller that still holds the list is served, the answer that is in
// progress when the entry closes its door (after keep and a second) is whole, and
// the process can be asked for its state afterwards.
func TestDrainOfAnEntryCutsNothing(t *testing.T) {
	s := start(t, quickstart.Options{Keep: time.Second})
	got := make(chan error, 4)
	for range 4 {
		go func() { _, err := call(s, strings.Replace(longCall, "150", "800", 1)); got <- err }()
	}
	waitFor(t, func() bool { return running(s) == 4 })
	code, out := command(s, 2, "drain", "entry-1")
	assert.Equal(t, code, 0, out)
	_, err := call(s, strings.Replace(longCall, "150", "1", 1))
	assert.NilError(t, err, "callers that hold the list are served")
	waitFor(t, func() bool {
		_, out := command(s, 1, "status", "-o", "tsv")
		return !strings.Contains(out, "entry-1\tup\ttrue")
	})
	for range 4 {
		assert.NilError(t, <-got)
	}
	assert.NilError(t, s.Entries[0].Drain(context.Background()))
	code, out = command(s, 0, "dump")
	assert.Equal(t, code, 0, out)
	assert.Assert(t, strings.Contains(out, `"draining": true`), out)
}

// A stranger on the network who doesn't know the cluster's secret gets no
// process's state and drains nothing.
func TestStrangersGetNoStateAndDrainNothing(t *testing.T) {
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
	_, out := command(s, 0, "status", "-o", "tsv")
	assert.Assert(t, strings.Contains(out, "entry-1\tup\ttrue"), out)
	assert.Assert(t, strings.Contains(out, "lm-1\tup"), out)
}
