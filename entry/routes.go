package entry

import (
	"net/http"

	"github.com/gorilla/mux"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

func (e *Entry) callerRoutes() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.Use(e.closeConnectionsWhenDraining)
	r.HandleFunc("/v1/entries", e.serveEntries).Methods(http.MethodGet)
	r.HandleFunc("/v1/refusals/{token}", e.serveRefusal).Methods(http.MethodGet)
	r.HandleFunc("/v1/chat/completions", e.serveModel).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", e.serveModel).Methods(http.MethodPost)
	r.PathPrefix("/services/{service}/").HandlerFunc(e.servePlain)
	r.HandleFunc("/healthz", e.serveHealth).Methods(http.MethodGet)
	r.HandleFunc("/readyz", e.serveReady).Methods(http.MethodGet)
	return r
}

// closeConnectionsWhenDraining adds "Connection: close" to the responses of a draining
// entry.
func (e *Entry) closeConnectionsWhenDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.setConnectionClose(w.Header())
		next.ServeHTTP(w, r)
	})
}

// setConnectionClose adds "Connection: close" if the entry is draining. Otherwise a
// caller on a keep-alive connection would stay until the entry closes idle connections,
// and a request that is in transit at that moment would fail.
func (e *Entry) setConnectionClose(h http.Header) {
	if e.draining.Load() {
		h.Set("Connection", "close")
	}
}

func (e *Entry) operatorRoutes() http.Handler {
	r := mux.NewRouter()
	r.Handle("/debug/state", e.operatorAPI.Authenticated(&e.dumps)).Methods(http.MethodGet)
	r.Handle("/metrics", kernel.MetricsHandler(e.metrics)).Methods(http.MethodGet)
	r.HandleFunc("/v1/refusals/{token}", e.serveRefusal).Methods(http.MethodGet)
	r.HandleFunc("/healthz", e.serveHealth).Methods(http.MethodGet)
	e.operatorAPI.Register(r)
	return r
}

// listedEntry is one element of the list of entries for callers.
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
	list := entryList{Entries: []listedEntry{}, KeepSeconds: int(e.settings.EntryListTTL.D().Seconds())}
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

// Ready reports whether the entry serves requests and is in the list of entries.
func (e *Entry) Ready() bool {
	return !e.draining.Load() && e.view.Load() != nil && e.rowsConfirmed()
}
