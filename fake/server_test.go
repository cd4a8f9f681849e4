package fake

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Release may be called after the fault is chosen but before the request waits for
// it. The request must not miss it and hang until the caller's deadline.
func TestReleaseBeforeRequestWaitsIsNotLost(t *testing.T) {
	p := &Plain{}
	assert.NilError(t, p.Start())
	defer p.Close()
	requestSeen := make(chan struct{})
	p.SetFault(func(*http.Request) Fault {
		close(requestSeen)
		return FaultHeld
	})
	body, bodyWriter := io.Pipe()
	req, err := http.NewRequest(http.MethodPost, p.URL()+"/confirm", body)
	assert.NilError(t, err)
	go func() {
		_, _ = bodyWriter.Write([]byte("a"))
		<-requestSeen
		p.SetFault(nil)
		p.Release()
		_ = bodyWriter.Close()
	}()
	const clientTimeout = 45 * time.Second
	resp, err := (&http.Client{Timeout: clientTimeout}).Do(req)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}
