package entry

import (
	"net/http"

	"github.com/gorilla/mux"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

func (e *Entry) callerRoutes() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.Use(e.closeWhenLeaving)
	r.HandleFunc("/v1/entries", e.serveEntries).Methods(http.MethodGet)
	r.HandleFunc("/v1/refusals/{token}", e.serveRefusal).Methods(http.MethodGet)
	r.HandleFunc("/v1/chat/completions", e.serveModel).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", e.serveModel).Methods(http.MethodPost)
	r.PathPrefix("/services/{service}/").HandlerFunc(e.servePlain)
	r.HandleFunc("/healthz", e.serveHealth).Methods(http.MethodGet)
	r.HandleFunc("/readyz", e.serveReady).Methods(http.MethodGet)
	return r
}

// closeWhenLeaving marks answers of an entry that leaves.
func (e *Entry) closeWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.markLeaving(w.Header())
		next.ServeHTTP(w, r)
	})
}

// markLeaving tells the caller to use its connection no more if the entry leaves. A
// caller that sends one request after another on a kept connection would otherwise
// stay until the stop, which closes idle connections: the next request may be on its
// way then, and its caller sees it cut.
func (e *Entry) markLeaving(h http.Header) {
	if e.draining.Load() {
		h.Set("Connection", "close")
	}
}

func (e *Entry) operatorRoutes() http.Handler {
	r := mux.NewRouter()
	r.Handle("/debug/state", e.ops.Authenticated(&e.dumps)).Methods(http.MethodGet)
	r.Handle("/metrics", kernel.MetricsHandler(e.metrics)).Methods(http.MethodGet)
	r.HandleFunc("/v1/refusals/{token}", e.serveRefusal).Methods(http.MethodGet)
	r.HandleFunc("/healthz", e.serveHealth).Methods(http.MethodGet)
	e.ops.Register(r)
	return r
}

// listedEntry is one entry as callers see it.
type listedEntry struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
}

type entryList struct {
	Entries     []listedEntry `json:"entries"`
	KeepSeconds int           `json:"keep_seconds"`
}

func (e *Entry) serveEntries(w http.ResponseWriter, _ *http.Request) {
	list := entryList{Entries: []listedEntry{}, KeepSeconds: int(e.settings.Keep.D().Seconds())}
	for _, i := range e.node.Instances(wire.Role_ROLE_ENTRY) {
		if !i.Up() || !i.Listed {
			continue
		}
		list.Entries = append(list.Entries, listedEntry{ID: i.Id, Address: i.CallerAddress, FailureDomain: i.FailureDomain})
	}
	kernel.WriteJSON(w, http.StatusOK, list)
}

func (e *Entry) serveHealth(w http.ResponseWriter, _ *http.Request) {
	kernel.WriteJSON(w, http.StatusOK, map[string]string{"status": "up"})
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.Ready() {
		kernel.WriteJSON(w, http.StatusServiceUnavailable, map[string]string{"status": "not ready"})
		return
	}
	kernel.WriteJSON(w, http.StatusOK, map[string]string{"status": "ready"})
}

// Ready says whether the entry serves requests and stands in the list.
func (e *Entry) Ready() bool {
	return !e.draining.Load() && e.view.Load() != nil && e.rowsConfirmed()
}
