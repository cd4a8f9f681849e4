//go:build review

package harness

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Plain is a server of a plain service: it works for a time on each request and answers it.
type Plain struct {
	Instance, Service, Zone, Address string
	Slots                            int
	// Work is how long it works on a request.
	Work time.Duration
	Born int64

	record   *Record
	server   *http.Server
	mu       sync.Mutex
	running  int
	sequence int
	runs     map[string]int
}

// NewPlain starts a server on a loopback address.
func NewPlain(r *Record, instance, service string, zone, slots int, work time.Duration) (*Plain, error) {
	lis, err := net.Listen("tcp", fmt.Sprintf("127.83.%d.%d:0", zone+1, 200+zone))
	if err != nil {
		return nil, err
	}
	p := &Plain{
		Instance: instance, Service: service, Zone: zoneOf(zone), Address: lis.Addr().String(), Slots: slots, Work: work,
		Born: time.Now().UnixMilli(), record: r, runs: map[string]int{},
	}
	p.server = &http.Server{Handler: &switchable{handler: p}}
	go func() { _ = p.server.Serve(lis) }()
	return p, nil
}

// switchable is a handler that can be replaced.
type switchable struct {
	mu      sync.Mutex
	handler http.Handler
}

func (s *switchable) set(h http.Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handler = h
}

// ServeHTTP implements http.Handler.
func (s *switchable) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	h := s.handler
	s.mu.Unlock()
	h.ServeHTTP(w, r)
}

// Close ends the server.
func (p *Plain) Close() { _ = p.server.Close() }

// Registration returns the body of the next heartbeat.
func (p *Plain) Registration() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sequence++
	return jsonText(map[string]any{
		"service": p.Service, "address": p.Address, "zone": p.Zone, "version": "v1", "slots": p.Slots, "state": "ready",
		"coldRemainingMs": 0, "sequence": p.sequence, "born": p.Born,
	})
}

// Runs returns how often the request with an attempt ID has run.
func (p *Plain) Runs(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[id]
}

// ServeHTTP implements http.Handler.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Snipereach-Attempt-Id")
	w.Header().Set("X-Snipereach-Attempt-Id", id)
	w.Header().Set("X-Snipereach-Instance-Id", p.Instance)
	if want := r.Header.Get("X-Snipereach-Expected-Instance"); want != "" && want != p.Instance {
		w.Header().Set("X-Snipereach-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.mu.Lock()
	if p.running >= p.Slots {
		p.mu.Unlock()
		w.Header().Set("X-Snipereach-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.running++
	p.runs[id]++
	load := fmt.Sprintf("%d,0,%d", p.running, p.Slots)
	p.mu.Unlock()
	p.record.Add("%s runs %s: %s %s, %d bytes", p.Instance, id, r.Method, r.URL.Path, len(body))
	defer func() {
		p.mu.Lock()
		p.running--
		p.mu.Unlock()
	}()
	select {
	case <-time.After(p.Work):
	case <-r.Context().Done():
		// The server drops a request when its connection closes; it has run.
		p.record.Add("%s drops %s: its connection was closed", p.Instance, id)
		return
	}
	w.Header().Set("X-Snipereach-Response-Signature", "s."+id)
	w.Header().Set("X-Snipereach-Server-Load", load)
	_, _ = fmt.Fprintf(w, "answer to %s", id)
	p.record.Add("%s has answered %s", p.Instance, id)
}
