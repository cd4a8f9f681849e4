package entry

import (
	"net/http"

	"github.com/snipereach/snipereach/upstream"
	"github.com/snipereach/snipereach/wire"
)

// maxStoredAnswer is the size in bytes of the largest body that claim registers store
// to replay it.
const maxStoredAnswer = 64 << 10

// httpSink writes an answer to the caller. If storeAnswer is set, it copies an answer of
// up to maxStoredAnswer bytes to replay it for a retry.
type httpSink struct {
	w  http.ResponseWriter
	id string
	// addHeaders adds headers of the entry when the answer begins.
	addHeaders  func(http.Header)
	started     bool
	flush       bool
	storeAnswer bool
	stored      *wire.StoredAnswer
}

// Begin implements forward.Sink.
func (s *httpSink) Begin(h *wire.RunReplyHead) error {
	s.started = true
	s.flush = h.Streaming
	if s.storeAnswer {
		s.stored = &wire.StoredAnswer{Status: h.Status, Headers: h.Headers, Dropped: h.Streaming}
	}
	for _, f := range h.Headers {
		s.w.Header().Add(f.Name, f.Value)
	}
	s.w.Header().Set(upstream.HeaderRequestID, s.id)
	s.addHeaders(s.w.Header())
	s.w.WriteHeader(int(h.Status))
	return nil
}

// Write implements forward.Sink.
func (s *httpSink) Write(b []byte) error {
	s.storeBody(b)
	if _, err := s.w.Write(b); err != nil {
		return err
	}
	if s.flush {
		return http.NewResponseController(s.w).Flush()
	}
	return nil
}

func (s *httpSink) storeBody(b []byte) {
	switch {
	case s.stored == nil || s.stored.Dropped:
	case len(s.stored.Body)+len(b) > maxStoredAnswer:
		s.stored = &wire.StoredAnswer{Status: s.stored.Status, Dropped: true}
	default:
		s.stored.Body = append(s.stored.Body, b...)
	}
}
