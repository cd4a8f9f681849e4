package entry

import (
	"net/http"

	"github.com/snipereach/snipereach/upstream"
	"github.com/snipereach/snipereach/wire"
)

// maxKeptAnswer is the largest answer that claim registers keep for resends.
const maxKeptAnswer = 64 << 10

// httpSink writes an answer to the caller, and keeps a copy of a small one for
// callers that send the request again.
type httpSink struct {
	w  http.ResponseWriter
	id string
	// mark adds what is known of the connection when the answer begins.
	mark  func(http.Header)
	begun bool
	flush bool
	keep  bool
	kept  *wire.StoredAnswer
}

// Begin implements forward.Sink.
func (s *httpSink) Begin(h *wire.RunReplyHead) error {
	s.begun = true
	s.flush = h.Streaming
	if s.keep {
		s.kept = &wire.StoredAnswer{Status: h.Status, Headers: h.Headers, Dropped: h.Streaming}
	}
	for _, f := range h.Headers {
		s.w.Header().Add(f.Name, f.Value)
	}
	s.w.Header().Set(upstream.HeaderRequestID, s.id)
	s.mark(s.w.Header())
	s.w.WriteHeader(int(h.Status))
	return nil
}

// Write implements forward.Sink.
func (s *httpSink) Write(b []byte) error {
	s.keepBody(b)
	if _, err := s.w.Write(b); err != nil {
		return err
	}
	if s.flush {
		return http.NewResponseController(s.w).Flush()
	}
	return nil
}

func (s *httpSink) keepBody(b []byte) {
	switch {
	case s.kept == nil || s.kept.Dropped:
	case len(s.kept.Body)+len(b) > maxKeptAnswer:
		s.kept = &wire.StoredAnswer{Status: s.kept.Status, Dropped: true}
	default:
		s.kept.Body = append(s.kept.Body, b...)
	}
}
