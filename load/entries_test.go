package load

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newListServer serves a list of entries and counts the requests for it.
func newListServer(t *testing.T, keep int, addresses func() string) (*httptest.Server, *atomic.Int32) {
	t.Helper()
	var requests atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		fmt.Fprintf(w, `{"keep_seconds":%d,"entries":[%s]}`, keep, addresses())
	}))
	t.Cleanup(srv.Close)
	return srv, &requests
}

func entriesJSON(addresses ...string) string {
	text := ""
	for i, a := range addresses {
		if i > 0 {
			text += ","
		}
		text += fmt.Sprintf(`{"address":%q}`, a)
	}
	return text
}

func TestEntryListIsCachedAndRotated(t *testing.T) {
	srv, requests := newListServer(t, 3600, func() string { return entriesJSON("127.0.0.1:1", "127.0.0.1:2") })
	e := &entries{client: http.DefaultClient, seeds: []string{srv.Listener.Addr().String()}, allow: CheckLoopback}
	count := map[string]int{}
	for range 10 {
		a, err := e.pick(context.Background(), "")
		assert.NilError(t, err)
		count[a]++
		other, err := e.pick(context.Background(), a)
		assert.NilError(t, err)
		assert.Assert(t, other != a, "a resend must go through another entry")
	}
	assert.Equal(t, count["127.0.0.1:1"]+count["127.0.0.1:2"], 10)
	assert.Equal(t, requests.Load(), int32(1))
	e.freshUntil = time.Time{}
	_, err := e.pick(context.Background(), "")
	assert.NilError(t, err)
	assert.Equal(t, requests.Load(), int32(2))
}

// When no entry serves the list, callers keep using the one that they have, or get
// ErrNoEntries if they have none.
func TestStaleEntryListIsUsedWhenFetchFails(t *testing.T) {
	srv, _ := newListServer(t, 0, func() string { return entriesJSON("127.0.0.1:1") })
	e := &entries{client: http.DefaultClient, seeds: []string{srv.Listener.Addr().String()}, allow: CheckLoopback}
	_, err := e.pick(context.Background(), "")
	assert.NilError(t, err)
	srv.Close()
	a, err := e.pick(context.Background(), "127.0.0.1:1")
	assert.NilError(t, err)
	assert.Equal(t, a, "127.0.0.1:1", "the only entry must be picked again")
	none := &entries{client: http.DefaultClient, seeds: e.seeds, allow: CheckLoopback}
	_, err = none.pick(context.Background(), "")
	assert.ErrorIs(t, err, ErrNoEntries)
}

// A list with an address outside the loopback must not be used.
func TestEntryListOutsideLoopbackIsRejected(t *testing.T) {
	srv, _ := newListServer(t, 1, func() string { return entriesJSON("127.0.0.1:1", "192.0.2.1:80") })
	e := &entries{client: http.DefaultClient, seeds: []string{srv.Listener.Addr().String()}, allow: CheckLoopback}
	_, err := e.pick(context.Background(), "")
	assert.ErrorIs(t, err, ErrNoEntries)
	assert.ErrorContains(t, err, "192.0.2.1:80")
}
