package fake

import (
	"net/http"
	"time"
)

// Plain is a fake plain service. It echoes the request's run key, method, path and
// query, so that callers detect an answer that belongs to another request.
type Plain struct {
	Server
	// WorkTime is the time taken per request.
	WorkTime time.Duration
}

// Start listens on the service's address and serves in the background.
func (p *Plain) Start() error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", p.serveLoad)
	mux.HandleFunc("/", p.serve)
	return p.listen(mux)
}

// PlainAnswer is the response body of a Plain.
type PlainAnswer struct {
	Key    string `json:"key"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Query  string `json:"query"`
}

func (p *Plain) serve(w http.ResponseWriter, r *http.Request) {
	p.serveWithFault(w, r, func(w http.ResponseWriter) {
		time.Sleep(p.WorkTime)
		writeJSON(w, PlainAnswer{Key: r.Header.Get(HeaderRunKey), Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery})
	})
}
