package entry

import (
	"context"
	"net/http"
	"testing"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

// All responses of a draining entry, refusals included, close the connection, so that no
// request is in transit when the entry closes idle connections.
func TestDrainingEntryClosesKeepAliveConnections(t *testing.T) {
	e, err := New(validSettings(), log.NewNopLogger())
	assert.NilError(t, err)
	t.Cleanup(func() { e.Stop() })
	assert.NilError(t, e.Start(context.Background()))
	closes := func(path string) bool {
		resp, err := http.Post("http://"+e.CallerAddress()+path, "", nil)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		return resp.Close
	}
	paths := []string{"/v1/chat/completions", "/services/clock-core/confirm"}
	for _, path := range paths {
		assert.Assert(t, !closes(path), path)
	}
	e.startDrain(context.Background())
	for _, path := range paths {
		assert.Assert(t, closes(path), path)
	}
}
