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

// fixed is a System that doesn't change.
type fixed struct {
	entries []operators.EntryState
	err     error
}

func (f fixed) Entries() []operators.EntryState      { return f.entries }
func (f fixed) Upstreams() []operators.UpstreamState { return nil }
func (f fixed) Dump(context.Context, string, string) (json.RawMessage, error) {
	return json.RawMessage("{}"), f.err
}
func (f fixed) Drain(context.Context, string, string) (operators.Drained, error) {
	return operators.Drained{}, f.err
}

// alone makes a handler in a system without any control replica.
func alone(t testing.TB, f fixed) *mux.Router {
	t.Helper()
	digest := sha256.Sum256([]byte("key"))
	ops := []operators.Operator{{Name: "asha", KeySHA256: hex.EncodeToString(digest[:])}}
	h, err := operators.New(ops, control.NewClient(nil, nil, "test"), f, metrics.NewRegistry(), log.NewNopLogger())
	assert.NilError(t, err)
	r := mux.NewRouter()
	h.Register(r)
	return r
}

func ask(r *mux.Router, method, path, body string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(body)).WithContext(expired())
	req.Header.Set("Authorization", "Bearer key")
	w := httptest.NewRecorder()
	r.ServeHTTP(w, req)
	return w
}

// An entry behind a partition is silent but may serve callers with old rows; one
// that leaves serves those that still hold the list. Both count.
func TestSilentAndLeavingEntriesCount(t *testing.T) {
	r := alone(t, fixed{entries: []operators.EntryState{
		{ID: "a", Phase: "up", Revision: 9}, {ID: "b", Phase: "leaving", Revision: 9}, {ID: "c", Phase: operators.PhaseSilent, Revision: 8},
	}})
	var f operators.Force
	assert.NilError(t, json.Unmarshal(ask(r, "GET", "/v1/force/9", "").Body.Bytes(), &f))
	assert.Equal(t, f.Entries, 3)
	assert.Equal(t, f.InForce, 2)
	assert.DeepEqual(t, f.Lagging, []string{"c"})
}

// No control replica answers. Operators still see the entries and upstreams, and
// are told that the log has no leader.
func TestStatusWithoutALeader(t *testing.T) {
	r := alone(t, fixed{entries: []operators.EntryState{{ID: "a", Phase: "up"}}})
	var s operators.Status
	assert.NilError(t, json.Unmarshal(ask(r, "GET", "/v1/status", "").Body.Bytes(), &s))
	assert.Equal(t, s.Health, operators.HealthUnknown)
	assert.Equal(t, len(s.Entries), 1)
	assert.Equal(t, ask(r, "GET", "/v1/table", "").Code, 503)
	assert.Equal(t, ask(r, "GET", "/v1/members", "").Code, 503)
	assert.Equal(t, ask(r, "GET", "/v1/history/pool/lm", "").Code, 503)
}

func TestErrorsOfProcessesHaveTheirStatus(t *testing.T) {
	for err, status := range map[error]int{
		operators.ErrUnknownProcess: 404, operators.ErrNotReached: 503,
	} {
		r := alone(t, fixed{err: err})
		assert.Equal(t, ask(r, "POST", "/v1/drain/x", "").Code, status)
		assert.Equal(t, ask(r, "GET", "/v1/dump/x", "").Code, status)
	}
}

// Whatever is sent, the handler answers with a status of its own and never
// panics; without a key nothing but 401 comes.
func FuzzRequests(f *testing.F) {
	f.Add("PUT", "/v1/table/pool/lm", `{"columns":{"slots":"9"}}`, `"1"`)
	f.Add("POST", "/v1/table", `{"rows":[{"kind":"pool","key":"a","base_version":18446744073709551615}]}`, "")
	f.Add("POST", "/v1/table", strings.Repeat("[", 10_000), "*")
	f.Add("GET", "/v1/history/pool/%2f%00?at_revision=-1", "", "")
	f.Add("DELETE", "/v1/members/a/b", "null", `W/"1"`)
	f.Add("POST", "/v1/drain/../..//", "{}", "")
	r := alone(f, fixed{err: operators.ErrUnknownProcess})
	f.Fuzz(func(t *testing.T, method, path, body, match string) {
		req, err := http.NewRequestWithContext(expired(), method, "http://entry"+path, strings.NewReader(body))
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

// expired is a context that is over, so that an edit nobody can decide is given
// up at once.
func expired() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
