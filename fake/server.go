// Package fake provides in-process fakes of a model engine, a plain service, a
// clock, a disk and a network for tests, the quickstart and the load tool. No
// production code depends on it.
package fake

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"
)

// Fault is an injected failure of one request.
type Fault int

// Faults that a fake server can inject.
const (
	FaultNone Fault = iota
	// FaultCloseBeforeRun closes the connection without running the request.
	FaultCloseBeforeRun
	// FaultCloseAfterRun counts the request as run and closes the connection without
	// an answer.
	FaultCloseAfterRun
	// FaultTruncate counts the request as run and closes the connection in the middle of
	// an answer.
	FaultTruncate
	// FaultCrossed answers with the request ID of another request.
	FaultCrossed
	// FaultStall counts the request as run and sends no answer until the caller
	// disconnects.
	FaultStall
	// FaultHeld runs the request and answers after Release, or sends no answer if
	// the caller disconnects first.
	FaultHeld
	// FaultHeldCrossed is FaultHeld with the headers of the server's previous
	// FaultHeldCrossed request, so that the answer is another request's.
	FaultHeldCrossed
	// FaultHeldMidStream sends the first heldAfterWrites writes of an answer at once,
	// and the rest after Release.
	FaultHeldMidStream
	// FaultOversized appends OversizeBytes bytes to the answer.
	FaultOversized
	// FaultTruncateAfter closes the connection after TruncateAfter bytes of the body.
	FaultTruncateAfter
	// FaultStopServer stops the server while it runs the request: all connections are
	// closed, and nothing listens until Restart is called.
	FaultStopServer
)

// OversizeBytes, in bytes, is above the answer size limit of every service row in the
// tests.
const OversizeBytes = 2 << 20

// Server is the common part of the fake upstreams: a listener, run counts and
// fault injection.
type Server struct {
	// Slots is the concurrency limit; 0 is unlimited.
	Slots int
	// TruncateAfter is the body length in bytes at which FaultTruncateAfter truncates. It
	// must not be set while requests run.
	TruncateAfter int
	// Listen is the address to listen on; a free loopback port if empty.
	Listen string

	mu          sync.Mutex
	chooseFault func(r *http.Request) Fault
	runs        map[string]int
	running     int
	waiting     int
	lis         net.Listener
	http        *http.Server
	slots       chan struct{}
	released    chan struct{}
	// lastHeader is the header of the last FaultHeldCrossed request.
	lastHeader http.Header
}

// listen opens the listener and serves h in the background.
func (s *Server) listen(h http.Handler) error {
	if s.Listen == "" {
		s.Listen = "127.0.0.1:0"
	}
	lis, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return err
	}
	s.lis = lis
	s.runs = map[string]int{}
	s.released = make(chan struct{})
	if s.Slots > 0 {
		s.slots = make(chan struct{}, s.Slots)
	}
	s.http = &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.http.Serve(lis) }()
	return nil
}

// Restart restarts a closed server at its previous address.
func (s *Server) Restart() error {
	lis, err := net.Listen("tcp", s.lis.Addr().String())
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lis = lis
	s.http = &http.Server{Handler: s.http.Handler, ReadHeaderTimeout: s.http.ReadHeaderTimeout}
	go func(served *http.Server) { _ = served.Serve(lis) }(s.http)
	return nil
}

// URL returns the server's address as an http URL.
func (s *Server) URL() string { return "http://" + s.lis.Addr().String() }

// Close stops the server and closes its connections at once.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.http.Close()
}

// Runs returns how often each request ran, by run key (header X-Run-Key), or by
// request ID for requests without one.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := make(map[string]int, len(s.runs))
	for k, v := range s.runs {
		copied[k] = v
	}
	return copied
}

// HeaderRunKey is the header that identifies a request across retries, so that its
// runs can be counted.
const HeaderRunKey = "X-Run-Key"

func runKey(r *http.Request) string {
	if k := r.Header.Get(HeaderRunKey); k != "" {
		return k
	}
	return r.Header.Get("X-Request-Id")
}

// acquireSlot waits for a slot and counts the run. It returns false if the caller
// disconnected first.
func (s *Server) acquireSlot(r *http.Request) bool {
	s.mu.Lock()
	s.waiting++
	s.mu.Unlock()
	ok := true
	if s.slots != nil {
		select {
		case s.slots <- struct{}{}:
		case <-r.Context().Done():
			ok = false
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	if ok {
		s.running++
		s.runs[runKey(r)]++
	}
	return ok
}

func (s *Server) releaseSlot() {
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	if s.slots != nil {
		<-s.slots
	}
}

// SetFault sets the function that chooses the fault of each request; nil injects
// none.
func (s *Server) SetFault(f func(r *http.Request) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chooseFault = f
}

// Release unblocks the held answers of all requests received so far.
func (s *Server) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.released)
	s.released = make(chan struct{})
}

// Running returns the number of requests that hold a slot.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// waitRelease waits until released is closed. It returns false if the caller
// disconnected first.
func waitRelease(r *http.Request, released <-chan struct{}) bool {
	select {
	case <-released:
		return true
	case <-r.Context().Done():
		return false
	}
}

// swapHeader stores the request's header and returns the previous one; the first
// call returns a made-up header.
func (s *Server) swapHeader(r *http.Request) http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	other := s.lastHeader
	if other == nil {
		other = http.Header{"X-Request-Id": {"another-request"}, HeaderRunKey: {"another-request"}}
	}
	s.lastHeader = r.Header
	return other
}

// faultFor returns the fault of a request and the channel that the next Release
// closes. The channel is taken before the request counts as run: a test may call
// Release as soon as it sees the run, and a request that took the channel later
// would miss that Release.
func (s *Server) faultFor(r *http.Request) (Fault, <-chan struct{}) {
	s.mu.Lock()
	f, released := s.chooseFault, s.released
	s.mu.Unlock()
	if f == nil {
		return FaultNone, released
	}
	return f(r), released
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	load := map[string]int{"running": s.running, "waiting": s.waiting, "slots": s.Slots}
	s.mu.Unlock()
	writeJSON(w, load)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// serveWithFault runs a request and injects its fault; run writes the answer.
func (s *Server) serveWithFault(w http.ResponseWriter, r *http.Request, run func(w http.ResponseWriter)) {
	fault, released := s.faultFor(r)
	if fault == FaultCloseBeforeRun {
		panic(http.ErrAbortHandler)
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if !s.acquireSlot(r) {
		return
	}
	defer s.releaseSlot()
	switch fault {
	case FaultCloseAfterRun:
		panic(http.ErrAbortHandler)
	case FaultStopServer:
		s.Close()
		panic(http.ErrAbortHandler)
	case FaultStall:
		<-r.Context().Done()
		return
	case FaultHeld:
		if !waitRelease(r, released) {
			return
		}
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	case FaultHeldCrossed:
		other := s.swapHeader(r)
		if !waitRelease(r, released) {
			return
		}
		r.Header = other
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	case FaultHeldMidStream:
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w = &heldWriter{ResponseWriter: w, wait: func() bool { return waitRelease(r, released) }}
	case FaultOversized:
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		run(w)
		_, _ = w.Write(make([]byte, OversizeBytes))
		return
	case FaultTruncateAfter:
		s.writeTruncated(w, r, run)
	case FaultCrossed:
		w.Header().Set("X-Request-Id", "another-request")
	case FaultTruncate:
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("Content-Length", "1000")
		fmt.Fprint(w, "only a part of it")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	default:
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	}
	run(w)
}

// heldAfterWrites is how many writes FaultHeldMidStream passes before it blocks.
const heldAfterWrites = 2

// heldWriter blocks in wait before the write that follows the first
// heldAfterWrites writes.
type heldWriter struct {
	http.ResponseWriter
	writes int
	wait   func() bool
}

func (h *heldWriter) Write(b []byte) (int, error) {
	if h.writes == heldAfterWrites && !h.wait() {
		return 0, http.ErrAbortHandler
	}
	h.writes++
	return h.ResponseWriter.Write(b)
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (h *heldWriter) Unwrap() http.ResponseWriter { return h.ResponseWriter }

// writeTruncated announces the full Content-Length, sends the first TruncateAfter bytes
// of the body and closes the connection.
func (s *Server) writeTruncated(w http.ResponseWriter, r *http.Request, run func(http.ResponseWriter)) {
	whole := httptest.NewRecorder()
	run(whole)
	body := whole.Body.Bytes()
	w.Header().Set("Content-Type", whole.Header().Get("Content-Type"))
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body[:min(s.TruncateAfter, len(body)-1)])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
