package entry

import (
	"net/http"

	"github.com/gorilla/mux"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/operators"
	"github.com/snipereach/snipereach/refusal"
	"github.com/snipereach/snipereach/wire"
)

func (e *Entry) callerRoutes() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/v1/entries", e.serveEntries).Methods(http.MethodGet)
	r.HandleFunc("/v1/refusals/{token}", e.serveRefusal).Methods(http.MethodGet)
	r.HandleFunc("/v1/chat/completions", e.serveModel).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", e.serveModel).Methods(http.MethodPost)
	r.PathPrefix("/services/{service}/").HandlerFunc(e.servePlain)
	r.HandleFunc("/healthz", e.serveHealth).Methods(http.MethodGet)
	r.HandleFunc("/readyz", e.serveReady).Methods(http.MethodGet)
	return r
}

func (e *Entry) operatorRoutes() http.Handler {
	r := mux.NewRouter()
	r.Handle("/debug/state", &e.dumps).Methods(http.MethodGet)
	r.Handle("/metrics", kernel.MetricsHandler(e.metrics)).Methods(http.MethodGet)
	r.HandleFunc("/v1/refusals/{token}", e.serveRefusal).Methods(http.MethodGet)
	r.HandleFunc("/healthz", e.serveHealth).Methods(http.MethodGet)
	e.ops.Register(r)
	return r
}

// entryStates lists the entries that are up, with the revision in force at each.
func (e *Entry) entryStates() []operators.EntryState {
	var list []operators.EntryState
	for _, i := range e.node.Instances(wire.Role_ROLE_ENTRY) {
		if i.Up() {
			list = append(list, operators.EntryState{ID: i.Id, Revision: i.Revision})
		}
	}
	return list
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

// explanation is a refusal as callers and operators read it later.
type explanation struct {
	*refusal.Problem
	Team     string         `json:"team,omitempty"`
	Service  string         `json:"service,omitempty"`
	Entry    string         `json:"entry"`
	AtUnixMS int64          `json:"at_unix_ms"`
	Attempts []attemptShown `json:"attempts,omitempty"`
}

type attemptShown struct {
	Upstream string `json:"upstream"`
	Outcome  string `json:"outcome"`
	Reason   string `json:"reason"`
	Detail   string `json:"detail,omitempty"`
}

func (e *Entry) serveRefusal(w http.ResponseWriter, r *http.Request) {
	ref, err := e.sealer.Open(mux.Vars(r)["token"])
	if err != nil {
		e.sealer.Write(w, e.refuse(wire.Reason_REASON_BAD_REQUEST, err.Error()))
		return
	}
	x := explanation{
		Problem: e.sealer.ProblemOf(ref), Team: ref.Team, Service: ref.Service,
		Entry: ref.Entry, AtUnixMS: ref.AtUnixMs,
	}
	for _, a := range ref.Attempts {
		x.Attempts = append(x.Attempts, attemptShown{
			Upstream: a.Upstream, Outcome: refusal.OutcomeWord(a.Outcome),
			Reason: refusal.ReasonWord(a.Reason), Detail: a.Detail,
		})
	}
	kernel.WriteJSON(w, http.StatusOK, x)
}
