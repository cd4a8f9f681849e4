package fake

import (
	"net/http"
	"time"
)

// Plain is a plain service: it answers with the request's own key, path and
// query, so that a crossed answer shows.
type Plain struct {
	Server
	// Work is how long one request takes.
	Work time.Duration
}

// Start listens and serves.
func (p *Plain) Start() error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", p.serveLoad)
	mux.HandleFunc("/", p.serve)
	return p.listen(mux)
}

// PlainAnswer is what a Plain answers with.
type PlainAnswer struct {
	Key    string `json:"key"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Query  string `json:"query"`
}

func (p *Plain) serve(w http.ResponseWriter, r *http.Request) {
	p.serveWithFault(w, r, func(w http.ResponseWriter) {
		time.Sleep(p.Work)
		writeJSON(w, PlainAnswer{Key: r.Header.Get(HeaderRunKey), Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery})
	})
}
