package agent_test

import (
	"context"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

// unframed answers with a body that has neither a length nor chunks and ends with its connection.
func unframed(w http.ResponseWriter, contentType, body string) {
	conn, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(rw, "HTTP/1.1 200 OK\r\nContent-Type: "+contentType+"\r\n\r\n"+body)
	_ = rw.Flush()
}

// Guards against answers that end with their connection and are taken for truncated, and against streams that were
// broken off inside an event, and answers that were cut after their head, that are taken for whole, as their connection
// ended.
func TestUnframedAnswersEndWithTheirConnection(t *testing.T) {
	for name, c := range map[string]struct {
		contentType, body string
		whole             bool
	}{
		"plain":           {"text/plain", "an answer", true},
		"empty":           {"text/plain", "", false},
		"stream":          {"text/event-stream", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", true},
		"stream of CRLF":  {"text/event-stream", "id: 1\r\ndata: a\r\n\r\n", true},
		"empty stream":    {"text/event-stream", "", false},
		"inside a line":   {"text/event-stream", "id: 1\ndata: a\n\nid: 2\nda", false},
		"inside an event": {"text/event-stream", "id: 1\ndata: a\n\nid: 2\n", false},
	} {
		r := newRelayFixture(t, func(w http.ResponseWriter, _ *http.Request) { unframed(w, c.contentType, c.body) })
		caller, res := r.call(context.Background(), name, "/x", nil)
		assert.Equal(t, caller.body.String(), c.body, name)
		if c.whole {
			assert.Equal(t, res.Reason, wire.Reason(0), "%s: %s", name, res.Detail)
			continue
		}
		assert.Equal(t, res.Reason, wire.Reason_REASON_ANSWER_INVALID, name)
		assert.Equal(t, res.Outcome, wire.Outcome_OUTCOME_UNKNOWN, name)
	}
}
