package quickstart

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/route"
)

// routeState returns the state of the engines in an entry's balancer, by upstream
// ID.
func routeState(t *testing.T, s *System, n int) map[string]route.UpstreamState {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+s.Entries[n].OperatorAddress()+"/debug/state", nil)
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+OperatorKey)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	var state struct {
		Route map[string]struct {
			Upstreams []route.UpstreamState `json:"upstreams"`
		} `json:"route"`
	}
	assert.NilError(t, json.Unmarshal(text, &state), "%s", text)
	known := map[string]route.UpstreamState{}
	for _, u := range state.Route["lm"].Upstreams {
		known[u.ID] = u
	}
	return known
}

func promptBody(topic string) string {
	text := strings.Repeat(topic+" of the morning lots. ", 100)
	return fmt.Sprintf(`{"model":"pushpa-lm","max_tokens":2,"messages":[{"role":"user","content":%q}]}`, text)
}

// engineThatRuns sends a prompt through the first entry and returns the index of the
// engine that ran it.
func engineThatRuns(t *testing.T, s *System, body string) int {
	t.Helper()
	before := make([]int, len(s.Engines))
	for i, e := range s.Engines {
		_, before[i] = e.CacheHits()
	}
	assert.Equal(t, callFirstEntry(s, "POST", "/v1/chat/completions", body, nil).status, 200)
	for i, e := range s.Engines {
		if _, looked := e.CacheHits(); looked > before[i] {
			return i
		}
	}
	t.Fatal("no engine looked the prompt up")
	return 0
}

// An entry must learn from an engine's cache events, without having seen the prompt
// itself, to route the same prompt to that engine.
func TestCacheEventsReachOtherEntries(t *testing.T) {
	t.Parallel()
	s := startSystem(t, Options{Rows: strings.Replace(Rows(), "pool\tlm\t", "pool\tlm\troute=prefix\t", 1)})
	body := promptBody("roses")
	i := engineThatRuns(t, s, body)
	id := fmt.Sprintf("lm-%d", i+1)
	waitFor(t, func() bool { return routeState(t, s, 1)[id].CacheSeq > 0 })
	for range 5 {
		assert.Equal(t, callEntry(s, 1, "POST", "/v1/chat/completions", body, nil).status, 200)
	}
	hits, looked := s.Engines[i].CacheHits()
	assert.Assert(t, hits > 0)
	assert.Equal(t, hits*6, looked*5, "the last 5 of 6 requests must hit the cache fully")
}

// A gap in an engine's cache events must not make requests fail, and later events
// must still be applied.
func TestLostCacheEventsDoNotFailRequests(t *testing.T) {
	t.Parallel()
	s := startSystem(t, Options{Rows: strings.Replace(Rows(), "pool\tlm\t", "pool\tlm\troute=prefix\t", 1)})
	i := engineThatRuns(t, s, promptBody("roses"))
	id := fmt.Sprintf("lm-%d", i+1)
	waitFor(t, func() bool { return routeState(t, s, 1)[id].CacheSeq == 1 })
	s.Engines[i].DropCacheEvents(1)
	s.Engines[i].ClearCache()
	s.Engines[i].ClearCache()
	waitFor(t, func() bool { return routeState(t, s, 1)[id].CacheSeq == 3 })
	for _, topic := range []string{"roses", "jasmine", "marigolds"} {
		for n := range s.Entries {
			assert.Equal(t, callEntry(s, n, "POST", "/v1/chat/completions", promptBody(topic), nil).status, 200)
		}
	}
}
