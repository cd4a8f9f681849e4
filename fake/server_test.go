package fake

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A test holds an answer and releases it as soon as it knows of the request, which on
// a busy machine is before the request waits. The answer comes all the same: it would
// else be held until the caller's deadline, and the test would blame the system.
func TestReleaseBeforeTheRequestWaits(t *testing.T) {
	p := &Plain{}
	assert.NilError(t, p.Start())
	defer p.Close()
	came := make(chan struct{})
	p.SetFault(func(*http.Request) Fault {
		close(came)
		return FaultHeld
	})
	body, rest := io.Pipe()
	req, err := http.NewRequest(http.MethodPost, p.URL()+"/confirm", body)
	assert.NilError(t, err)
	go func() {
		_, _ = rest.Write([]byte("a"))
		<-came
		p.SetFault(nil)
		p.Release()
		_ = rest.Close()
	}()
	const hangs = 45 * time.Second
	resp, err := (&http.Client{Timeout: hangs}).Do(req)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}
