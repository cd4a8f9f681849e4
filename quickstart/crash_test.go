package quickstart

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/fake"
)

// endingServices is a system whose plain services end when they run requests of one path, and
// are back a while later.
type crashingServices struct {
	*System
	mu      sync.Mutex
	crashes int
}

const (
	crashPath = "/services/clock-core/bad"
	okPath    = "/services/clock-core/fine"
)

func newCrashingServices(t *testing.T) *crashingServices {
	s, err := Start(context.Background(), Options{Log: log.NewNopLogger(), FakeDisks: true, Plains: 5})
	assert.NilError(t, err)
	e := &crashingServices{System: s}
	stopped := make(chan struct{})
	var restarts sync.WaitGroup
	t.Cleanup(func() {
		close(stopped)
		restarts.Wait()
		s.Stop()
	})
	assert.NilError(t, s.WaitReady(context.Background()))
	for _, p := range s.Plains {
		p.SetFault(func(r *http.Request) fake.Fault {
			if !strings.HasSuffix(r.URL.Path, "/bad") {
				return fake.FaultNone
			}
			e.mu.Lock()
			e.crashes++
			e.mu.Unlock()
			restarts.Add(1)
			go func() {
				defer restarts.Done()
				select {
				case <-stopped:
				case <-time.After(300 * time.Millisecond):
					assert.Check(t, p.Again())
				}
			}()
			return fake.FaultEnd
		})
	}
	return e
}

func (e *crashingServices) crashCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// post sends a request to an entry and returns the answer's status and body.
func (e *crashingServices) post(entry int, path, body string) (int, string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+e.Entries[entry].CallerAddress()+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("Authorization", "Bearer "+TeamKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}

// A request ends each service that begins to run it, and its caller sends it again at each entry
// in turn. Each time an agent answers "in doubt", which says nothing to the next entry, or to the
// next request. Once three services have ended under it, it is refused as not run, with its reason;
// other requests are served.
func TestRequestThatCrashesServicesIsQuarantined(t *testing.T) {
	e := newCrashingServices(t)
	refused := 0
	for n := range 30 {
		status, text := e.post(n%3, crashPath, "{}")
		if status == http.StatusServiceUnavailable && strings.Contains(text, `"quarantined"`) && strings.Contains(text, `"not-run"`) {
			refused++
		}
		time.Sleep(100 * time.Millisecond)
	}
	assert.Assert(t, e.crashCount() <= 4, "%d services ended", e.crashCount())
	assert.Assert(t, refused >= 20, "%d of 30 were refused as they should", refused)
	for n := range 30 {
		status, text := e.post(n%3, okPath, fmt.Sprint(`{"n":`, n, `}`))
		assert.Equal(t, status, http.StatusOK, text)
	}
}
