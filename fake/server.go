// Package fake holds small stand-ins at the system's interfaces: a model
// engine, a plain service, a clock. They serve tests, the quickstart and the
// load tool; nothing in production depends on them.
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

// Fault is what a server does wrong with one request.
type Fault int

// Faults of a fake server.
const (
	FaultNone Fault = iota
	// FaultDieBefore closes the connection and runs nothing.
	FaultDieBefore
	// FaultDieAfterRun runs the request and closes the connection unanswered.
	FaultDieAfterRun
	// FaultCut runs the request and cuts the answer in the middle.
	FaultCut
	// FaultCrossed answers in the name of another request.
	FaultCrossed
	// FaultStall runs the request and answers only when the caller gives up.
	FaultStall
	// FaultHeld runs the request and answers after Release, or when the caller
	// gives up.
	FaultHeld
	// FaultHeldCrossed is FaultHeld with the whole answer of the request that was
	// held before it on this server.
	FaultHeldCrossed
	// FaultHeldMidway sends the first heldAfter parts of a stream at once, and the
	// rest after Release.
	FaultHeldMidway
	// FaultOversized answers with Oversize bytes more than it should.
	FaultOversized
	// FaultCutShort cuts the answer after CutAfter bytes of its body.
	FaultCutShort
	// FaultEnd ends the server as it runs the request: all connections are reset, and nothing
	// listens until Again.
	FaultEnd
)

// Oversize is more than any service row of the tests lets through.
const Oversize = 2 << 20

// Server is what the fakes share: a listener, counts of runs, and faults.
type Server struct {
	// Slots is how many requests run at once; 0 is no bound.
	Slots int
	// CutAfter is where FaultCutShort cuts; set it while nothing runs.
	CutAfter int
	// Listen is the address; a free loopback port if empty.
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
	// crossed is the head of the request that was held last to be crossed.
	lastHeader http.Header
}

// listen serves a handler.
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

// Again serves once more, at its address, after it has ended.
func (s *Server) Again() error {
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

// Close cuts every connection.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.http.Close()
}

// Runs returns how often each request ran, by the caller's key (header
// X-Run-Key), or by request ID where there is none.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := make(map[string]int, len(s.runs))
	for k, v := range s.runs {
		copied[k] = v
	}
	return copied
}

// HeaderRunKey lets a caller name its request, so that runs can be counted
// through retries.
const HeaderRunKey = "X-Run-Key"

func runKey(r *http.Request) string {
	if k := r.Header.Get(HeaderRunKey); k != "" {
		return k
	}
	return r.Header.Get("X-Request-Id")
}

// enter waits for a slot; it returns false if the caller left.
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

// SetFault chooses what goes wrong with each request; nil is nothing.
func (s *Server) SetFault(f func(r *http.Request) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chooseFault = f
}

// Release lets answers that are held go.
func (s *Server) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.released)
	s.released = make(chan struct{})
}

// Running returns how many requests run now.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// hold waits for the Release of what was held when the request came; false if the
// caller left first.
func waitRelease(r *http.Request, released <-chan struct{}) bool {
	select {
	case <-released:
		return true
	case <-r.Context().Done():
		return false
	}
}

// cross keeps a request's head for the next one, and returns that of the one before;
// the first gets one that nobody sent.
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

// fault chooses what goes wrong with a request, and the Release that it would wait
// for. Both are taken before the request counts as run: whoever saw it run may
// release it at once, and a request that began to wait only then would wait for a
// Release that never comes.
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

// answerWith runs a request under its fault; run writes the answer.
func (s *Server) serveWithFault(w http.ResponseWriter, r *http.Request, run func(w http.ResponseWriter)) {
	fault, released := s.faultFor(r)
	if fault == FaultDieBefore {
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
	case FaultDieAfterRun:
		panic(http.ErrAbortHandler)
	case FaultEnd:
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
	case FaultHeldMidway:
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w = &heldWriter{ResponseWriter: w, wait: func() bool { return waitRelease(r, released) }}
	case FaultOversized:
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		run(w)
		_, _ = w.Write(make([]byte, Oversize))
		return
	case FaultCutShort:
		s.writeTruncated(w, r, run)
	case FaultCrossed:
		w.Header().Set("X-Request-Id", "another-request")
	case FaultCut:
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

// heldAfter is how many parts of a stream FaultHeldMidway lets through.
const heldAfterWrites = 2

// heldWriter holds an answer after its first parts.
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

// Unwrap lets http.ResponseController flush.
func (h *heldWriter) Unwrap() http.ResponseWriter { return h.ResponseWriter }

// cutShort announces the whole answer and sends the first CutAfter bytes of it.
func (s *Server) writeTruncated(w http.ResponseWriter, r *http.Request, run func(http.ResponseWriter)) {
	whole := httptest.NewRecorder()
	run(whole)
	body := whole.Body.Bytes()
	w.Header().Set("Content-Type", whole.Header().Get("Content-Type"))
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body[:min(s.CutAfter, len(body)-1)])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
