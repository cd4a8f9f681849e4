package operators_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/control"
	"github.com/snipereach/snipereach/operators"
)

// staticSystem is a System with fixed state.
type staticSystem struct {
	entries []operators.EntryState
	err     error
}

func (f staticSystem) Entries() []operators.EntryState      { return f.entries }
func (f staticSystem) Upstreams() []operators.UpstreamState { return nil }

func (f staticSystem) Evacuated() []string { return nil }
func (f staticSystem) Dump(context.Context, string, string) (json.RawMessage, error) {
	return json.RawMessage("{}"), f.err
}
func (f staticSystem) Drain(context.Context, string, string) (operators.DrainStatus, error) {
	return operators.DrainStatus{}, f.err
}

// routerWithoutReplicas returns the routes of a handler whose client knows no
// control replica.
func routerWithoutReplicas(t testing.TB, f staticSystem) *mux.Router {
	t.Helper()
	return routerOf(t, control.NewClient(nil, nil, "test"), f)
}

// routerOf returns the routes of a handler with a client of control replicas.
func routerOf(t testing.TB, c *control.Client, f staticSystem) *mux.Router {
	t.Helper()
	digest := sha256.Sum256([]byte("key"))
	ops := []operators.Operator{{Name: "asha", KeySHA256: hex.EncodeToString(digest[:])}}
	h, err := operators.New(ops, c, f, metrics.NewRegistry(), log.NewNopLogger())
	assert.NilError(t, err)
	r := mux.NewRouter()
	h.Register(r)
	return r
}

func serveRequest(r *mux.Router, method, path, body string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(body)).WithContext(cancelledContext())
	req.Header.Set("Authorization", "Bearer key")
	w := httptest.NewRecorder()
	r.ServeHTTP(w, req)
	return w
}

// Silent and leaving entries must be counted: a silent one may serve callers with
// old rows behind a partition, a leaving one serves callers with an old list of
// entries.
func TestSilentAndLeavingEntriesAreCounted(t *testing.T) {
	r := routerWithoutReplicas(t, staticSystem{entries: []operators.EntryState{
		{ID: "a", Phase: "up", Revision: 9}, {ID: "b", Phase: "leaving", Revision: 9}, {ID: "c", Phase: operators.PhaseSilent, Revision: 8},
	}})
	var f operators.Propagation
	assert.NilError(t, json.Unmarshal(serveRequest(r, "GET", "/v1/force/9", "").Body.Bytes(), &f))
	assert.Equal(t, f.Entries, 3)
	assert.Equal(t, f.InForce, 2)
	assert.DeepEqual(t, f.Lagging, []string{"c"})
}

// Without a control replica, the status must still show entries and upstreams, and
// report that the log has no leader.
func TestStatusWithoutLeader(t *testing.T) {
	r := routerWithoutReplicas(t, staticSystem{entries: []operators.EntryState{{ID: "a", Phase: "up"}}})
	var s operators.Status
	assert.NilError(t, json.Unmarshal(serveRequest(r, "GET", "/v1/status", "").Body.Bytes(), &s))
	assert.Equal(t, s.Health, operators.HealthUnknown)
	assert.Equal(t, len(s.Entries), 1)
	assert.Equal(t, serveRequest(r, "GET", "/v1/table", "").Code, 503)
	assert.Equal(t, serveRequest(r, "GET", "/v1/members", "").Code, 503)
	assert.Equal(t, serveRequest(r, "GET", "/v1/history/pool/lm", "").Code, 503)
}

func TestSystemErrorsMapToStatus(t *testing.T) {
	for err, status := range map[error]int{
		operators.ErrUnknownProcess: 404, operators.ErrUnreachable: 503,
	} {
		r := routerWithoutReplicas(t, staticSystem{err: err})
		assert.Equal(t, serveRequest(r, "POST", "/v1/drain/x", "").Code, status)
		assert.Equal(t, serveRequest(r, "GET", "/v1/dump/x", "").Code, status)
	}
}

// The handler must answer any request with a valid status and must not panic.
// Without a key, no request may succeed.
func FuzzRequests(f *testing.F) {
	f.Add("PUT", "/v1/table/pool/lm", `{"columns":{"slots":"9"}}`, `"1"`)
	f.Add("POST", "/v1/table", `{"rows":[{"kind":"pool","key":"a","base_version":18446744073709551615}]}`, "")
	f.Add("POST", "/v1/table", strings.Repeat("[", 10_000), "*")
	f.Add("GET", "/v1/history/pool/%2f%00?at_revision=-1", "", "")
	f.Add("DELETE", "/v1/members/a/b", "null", `W/"1"`)
	f.Add("POST", "/v1/drain/../..//", "{}", "")
	r := routerWithoutReplicas(f, staticSystem{err: operators.ErrUnknownProcess})
	f.Fuzz(func(t *testing.T, method, path, body, match string) {
		req, err := http.NewRequestWithContext(cancelledContext(), method, "http://entry"+path, strings.NewReader(body))
		if err != nil || !strings.HasPrefix(req.URL.Path, "/v1/") {
			return
		}
		req.Header.Set("If-Match", match)
		w := httptest.NewRecorder()
		r.ServeHTTP(w, req)
		assert.Assert(t, w.Code == 401 || w.Code == 404 || w.Code == 405 || w.Code == 301, "%d", w.Code)
		req.Header.Set("Authorization", "Bearer key")
		w = httptest.NewRecorder()
		r.ServeHTTP(w, req)
		assert.Assert(t, w.Code >= 200 && w.Code < 600)
	})
}

// cancelledContext returns a cancelled context, so that calls to control replicas
// fail at once.
func cancelledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
