package kernel

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/rcrowley/go-metrics"
)

// Dumps collects the state dumps of a process's components. The zero value is
// ready to use.
type Dumps struct {
	mu    sync.Mutex
	parts map[string]func() any
}

// Add registers a component's dump function. It must return a value that encodes as
// JSON and be safe for concurrent use.
func (d *Dumps) Add(part string, dump func() any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.parts == nil {
		d.parts = map[string]func() any{}
	}
	d.parts[part] = dump
}

// State returns the current dump of every component, by name.
func (d *Dumps) State() map[string]any {
	d.mu.Lock()
	parts := make(map[string]func() any, len(d.parts))
	for name, f := range d.parts {
		parts[name] = f
	}
	d.mu.Unlock()
	state := make(map[string]any, len(parts))
	for name, f := range parts {
		state[name] = f()
	}
	return state
}

// ServeHTTP writes the state as JSON.
func (d *Dumps) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, http.StatusOK, d.State())
}

// MetricsHandler returns a handler that writes all metrics of a registry as JSON.
func MetricsHandler(r metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, r.GetAll())
	})
}

// WriteJSON writes v as an indented JSON response with a status code.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}
