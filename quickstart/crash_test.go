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

// crashingServices is a system whose plain services crash when they run a request
// to crashPath, and restart a while later.
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
					assert.Check(t, p.Restart())
				}
			}()
			return fake.FaultStopServer
		})
	}
	return e
}

func (e *crashingServices) crashCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// post sends a request to an entry and returns the status and body of the answer,
// or 0 and the error.
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

// A request that crashes each service that runs it, and that its caller resends
// through all entries, must be quarantined before it has crashed all of them. Other
// requests must still be served.
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
	assert.Assert(t, e.crashCount() <= 4, "%d services crashed", e.crashCount())
	assert.Assert(t, refused >= 20, "%d of 30 requests were refused as quarantined", refused)
	for n := range 30 {
		status, text := e.post(n%3, okPath, fmt.Sprint(`{"n":`, n, `}`))
		assert.Equal(t, status, http.StatusOK, text)
	}
}
