package quickstart

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

// A drained entry must answer with Connection: close on keep-alive connections
// before it closes them, so that no request is cut.
func TestEntryDrainCutsNoRequestOnKeepAliveConnections(t *testing.T) {
	s, err := Start(context.Background(), Options{Log: log.NewNopLogger(), FakeDisks: true, EntryListTTL: time.Second})
	assert.NilError(t, err)
	t.Cleanup(s.Stop)
	assert.NilError(t, s.WaitReady(context.Background()))
	leaving := s.Entries[0]
	const callers = 20
	var wg sync.WaitGroup
	errs := make(chan error, callers)
	for range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			errs <- pingUntilClosed("http://" + leaving.CallerAddress())
		}()
	}
	assert.NilError(t, leaving.Drain(context.Background()))
	wg.Wait()
	for range callers {
		assert.NilError(t, <-errs)
	}
}

// pingUntilClosed sends requests on one connection until a response announces its
// close. It returns an error if the connection breaks earlier.
func pingUntilClosed(base string) error {
	conn := &http.Transport{MaxConnsPerHost: 1}
	defer conn.CloseIdleConnections()
	for {
		// A body that cannot be replayed keeps net/http from retrying after a cut.
		body := io.NopCloser(strings.NewReader("{}"))
		req, err := http.NewRequest(http.MethodPost, base+"/services/clock-core/confirm", body)
		if err != nil {
			return err
		}
		req.Header.Set("Authorization", "Bearer "+TeamKey)
		resp, err := conn.RoundTrip(req)
		if err != nil {
			return err
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return err
		}
		if err := resp.Body.Close(); err != nil || resp.Close {
			return err
		}
	}
}
