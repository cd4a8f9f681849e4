package entry

import (
	"context"
	"net/http"
	"testing"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

// A caller sends one request after another on one connection while the entry is
// stopped as planned. Each answer from then on, a refusal too, tells it to connect
// anew, so that no request of its is on the way when the entry closes connections.
func TestLeavingEntryGivesUpKeptConnections(t *testing.T) {
	e, err := New(valid(), log.NewNopLogger())
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
	e.leave(context.Background())
	for _, path := range paths {
		assert.Assert(t, closes(path), path)
	}
}
