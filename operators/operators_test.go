package operators_test

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/go-kit/log"
	"github.com/gorilla/mux"
	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/operators"
	"github.com/snipereach/snipereach/quickstart"
)

func start(t *testing.T) *quickstart.System {
	t.Helper()
	s, err := quickstart.Start(context.Background(), quickstart.Options{Log: log.NewNopLogger()})
	assert.NilError(t, err)
	t.Cleanup(s.Stop)
	assert.NilError(t, s.WaitReady(context.Background()))
	return s
}

// response holds every JSON member that a response may have.
type response struct {
	status int
	header http.Header
	body   string

	operators.Row
	Title    string                `json:"title"`
	Detail   string                `json:"detail"`
	BadRow   string                `json:"row"`
	Column   string                `json:"column"`
	InForce  []operators.Row       `json:"in_force"`
	Rows     []operators.Row       `json:"rows"`
	Replayed bool                  `json:"replayed"`
	Force    operators.Propagation `json:"force"`
}

// sendRequest sends a request to the operators' address of the first entry.
// headers are NAME, VALUE pairs.
func sendRequest(t *testing.T, s *quickstart.System, method, path, body string, headers ...string) response {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+s.Entries[0].OperatorAddress()+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+quickstart.OperatorKey)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	a := response{status: resp.StatusCode, header: resp.Header, body: string(text)}
	if strings.Contains(resp.Header.Get("Content-Type"), "json") && !strings.HasPrefix(path, "/v1/force/") {
		assert.NilError(t, json.Unmarshal(text, &a), "%s", text)
	}
	return a
}

func columnsBody(cells ...string) string {
	m := map[string]string{}
	for _, c := range cells {
		name, value, _ := strings.Cut(c, "=")
		m[name] = value
	}
	text, _ := json.Marshal(map[string]any{"columns": m})
	return string(text)
}

// Of two edits based on the same version, the second must be refused with status
// 412 and the current row, and must change nothing.
func TestSecondEditOfSameVersionConflicts(t *testing.T) {
	s := start(t)
	const path = "/v1/table/pool/lm"
	read := sendRequest(t, s, "GET", path, "")
	assert.Equal(t, read.status, 200)
	tag := read.header.Get("ETag")
	assert.Equal(t, tag, `"1"`)

	first := sendRequest(t, s, "PUT", path, columnsBody("slots=9"), "If-Match", tag)
	assert.Equal(t, first.status, 200, first.body)
	assert.Equal(t, first.header.Get("ETag"), `"2"`)
	assert.Equal(t, first.Rows[0].ChangedBy, "quickstart")
	assert.Equal(t, first.Force.Entries, 3)
	assert.Equal(t, first.Force.InForce, 3)

	second := sendRequest(t, s, "PUT", path, columnsBody("slots=10"), "If-Match", tag)
	assert.Equal(t, second.status, 412)
	assert.Equal(t, len(second.InForce), 1)
	now := second.InForce[0]
	assert.Equal(t, now.Columns["slots"], "9")
	assert.Equal(t, now.ChangedBy, "quickstart")
	assert.Equal(t, now.ChangedAt, first.Rows[0].ChangedAt)
	assert.Assert(t, now.ChangedAt != "")
	assert.Equal(t, sendRequest(t, s, "GET", path, "").Columns["slots"], "9")

	again := sendRequest(t, s, "PUT", path, columnsBody("slots=10"), "If-Match", `"2"`)
	assert.Equal(t, again.status, 200, again.body)
	gone := sendRequest(t, s, "DELETE", path, "", "If-Match", `"1"`)
	assert.Equal(t, gone.status, 412)
}

func TestSecondCreationOfRowConflicts(t *testing.T) {
	s := start(t)
	const path = "/v1/table/pool/repair"
	assert.Equal(t, sendRequest(t, s, "GET", path, "").status, 404)
	made := sendRequest(t, s, "PUT", path, columnsBody("slots=3"), "If-None-Match", "*")
	assert.Equal(t, made.status, 200, made.body)
	defaults := sendRequest(t, s, "PUT", "/v1/table/pool/defaults", columnsBody(), "If-None-Match", "*")
	assert.Assert(t, strings.Contains(defaults.body, `"columns": {}`), defaults.body)
	twice := sendRequest(t, s, "PUT", path, columnsBody("slots=4"), "If-None-Match", "*")
	assert.Equal(t, twice.status, 412)
	assert.Equal(t, twice.InForce[0].Columns["slots"], "3")
	deleted := sendRequest(t, s, "DELETE", path, "", "If-Match", `"1"`)
	assert.Equal(t, deleted.status, 200, deleted.body)
	assert.Equal(t, sendRequest(t, s, "GET", path, "").status, 404)
	history := sendRequest(t, s, "GET", "/v1/history/pool/repair", "")
	assert.Equal(t, len(history.Rows), 2)
	assert.Assert(t, history.Rows[0].Deleted)
}

// An edit that is retried with its idempotency key must get the first response and
// must not overwrite a later edit. A key that is reused for another edit must be
// refused.
func TestRetriedEditGetsFirstResponse(t *testing.T) {
	s := start(t)
	const path = "/v1/table/pool/lm"
	put := func(slots, tag, id string) response {
		return sendRequest(t, s, "PUT", path, columnsBody("slots="+slots), "If-Match", tag, "Idempotency-Key", id)
	}
	first := put("9", `"1"`, "edit-a")
	assert.Equal(t, first.status, 200, first.body)
	assert.Equal(t, put("20", `"2"`, "edit-b").status, 200)
	again := put("9", `"1"`, "edit-a")
	assert.Equal(t, again.status, 200, again.body)
	assert.Assert(t, again.Replayed)
	assert.DeepEqual(t, again.Rows, first.Rows)
	assert.Equal(t, sendRequest(t, s, "GET", path, "").Columns["slots"], "20")
	assert.Equal(t, put("11", `"3"`, "edit-a").status, 422)
	assert.Equal(t, sendRequest(t, s, "GET", path, "").Columns["slots"], "20")
}

func TestMalformedRequestsAreRefused(t *testing.T) {
	s := start(t)
	many := `{"rows":[` + strings.Repeat(`{"kind":"pool","key":"a","base_version":0},`, 5000) + `{"kind":"pool","key":"b","base_version":0}]}`
	for _, c := range []struct {
		name, method, path, body string
		headers                  []string
		status                   int
		column                   string
	}{
		{"bad cell", "PUT", "/v1/table/pool/lm", columnsBody("slots=many"), []string{"If-Match", `"1"`}, 422, "slots"},
		{"unknown column", "PUT", "/v1/table/pool/lm", columnsBody("slotz=1"), []string{"If-Match", `"1"`}, 422, "slotz"},
		{"no such pool", "PUT", "/v1/table/service/x", columnsBody("kind=plain", "pool=none"), []string{"If-None-Match", "*"}, 422, "pool"},
		{"referred to", "DELETE", "/v1/table/pool/lm", "", []string{"If-Match", `"1"`}, 422, ""},
		{"long edit ID", "PUT", "/v1/table/pool/lm", columnsBody("slots=1"), []string{"If-Match", `"1"`, "Idempotency-Key", strings.Repeat("k", 129)}, 422, "edit_id"},
		{"no precondition", "PUT", "/v1/table/pool/lm", columnsBody("slots=1"), nil, 428, ""},
		{"delete without precondition", "DELETE", "/v1/table/pool/lm", "", nil, 428, ""},
		{"not an ETag", "PUT", "/v1/table/pool/lm", columnsBody("slots=1"), []string{"If-Match", "W/x"}, 400, ""},
		{"both preconditions", "PUT", "/v1/table/pool/lm", columnsBody("slots=1"), []string{"If-Match", `"1"`, "If-None-Match", "*"}, 400, ""},
		{"unknown kind", "GET", "/v1/table/teams", "", nil, 404, ""},
		{"unknown kind of an edit", "PUT", "/v1/table/teams/x", columnsBody(), []string{"If-None-Match", "*"}, 422, ""},
		{"no JSON", "PUT", "/v1/table/pool/lm", "slots=1", []string{"If-Match", `"1"`}, 400, ""},
		{"more after the JSON", "PUT", "/v1/table/pool/lm", columnsBody("slots=1") + "{}", []string{"If-Match", `"1"`}, 400, ""},
		{"unknown member", "PUT", "/v1/table/pool/lm", `{"cells":{}}`, []string{"If-Match", `"1"`}, 400, ""},
		{"no rows", "POST", "/v1/table", `{"rows":[]}`, nil, 400, ""},
		{"too many rows", "POST", "/v1/table", many, nil, 400, ""},
		{"body too large", "POST", "/v1/table", `{"rows":[{"kind":"` + strings.Repeat("x", 4<<20) + `"}]}`, nil, 413, ""},
		{"not a revision", "GET", "/v1/history/pool/lm?at_revision=x", "", nil, 400, ""},
	} {
		a := sendRequest(t, s, c.method, c.path, c.body, c.headers...)
		assert.Equal(t, a.status, c.status, "%s: %s", c.name, a.body)
		assert.Equal(t, a.Column, c.column, "%s: %s", c.name, a.body)
		assert.Equal(t, a.header.Get("Content-Type"), "application/problem+json", c.name)
	}
	row := sendRequest(t, s, "GET", "/v1/table/pool/lm", "")
	assert.Equal(t, row.Row.Version, uint64(1))
}

// An edit of several rows must change none of them if one conflicts.
func TestEditOfSeveralRowsIsAtomic(t *testing.T) {
	s := start(t)
	edit := func(version int) response {
		body := fmt.Sprintf(`{"rows":[{"kind":"pool","key":"new","columns":{"slots":"2"},"base_version":0},
			{"kind":"pool","key":"lm","columns":{"slots":"9"},"base_version":%d}]}`, version)
		return sendRequest(t, s, "POST", "/v1/table", body)
	}
	bad := edit(7)
	assert.Equal(t, bad.status, 412)
	assert.Equal(t, bad.InForce[0].Key, "lm")
	assert.Equal(t, sendRequest(t, s, "GET", "/v1/table/pool/new", "").status, 404)
	good := edit(1)
	assert.Equal(t, good.status, 200, good.body)
	assert.Equal(t, len(good.Rows), 2)
}

var pathVariable = regexp.MustCompile(`\{([a-z]+)[^}]*\}`)

// registeredRoutes returns every route of the handler as METHOD PATH, without
// those of the page.
func registeredRoutes(t *testing.T) []string {
	t.Helper()
	values := map[string]string{"kind": "pool", "key": "lm", "revision": "1", "verb": "pin"}
	var list []string
	err := routerWithoutReplicas(t, staticSystem{}).Walk(func(route *mux.Route, _ *mux.Router, _ []*mux.Route) error {
		path, err := route.GetPathTemplate()
		if err != nil || path == "/" || strings.HasPrefix(path, "/page/") {
			return err
		}
		methods, err := route.GetMethods()
		for _, m := range methods {
			list = append(list, m+" "+pathVariable.ReplaceAllStringFunc(path, func(v string) string {
				return cmp.Or(values[pathVariable.FindStringSubmatch(v)[1]], "x")
			}))
		}
		return err
	})
	assert.NilError(t, err)
	assert.Assert(t, len(list) >= 15, "%v", list)
	return list
}

func TestEveryRouteRequiresOperatorKey(t *testing.T) {
	s := start(t)
	for _, route := range registeredRoutes(t) {
		method, path, _ := strings.Cut(route, " ")
		for _, key := range []string{"", "Bearer ", "Bearer wrong", "Bearer " + quickstart.TeamKey, "Basic " + quickstart.OperatorKey} {
			a := sendRequest(t, s, method, path, columnsBody("slots=1"), "Authorization", key, "If-Match", `"1"`)
			assert.Equal(t, a.status, 401, "%s %q: %s", route, key, a.body)
			assert.Equal(t, a.header.Get("WWW-Authenticate"), "Bearer")
		}
	}
	assert.Equal(t, sendRequest(t, s, "GET", "/v1/table/pool/lm", "").Row.Version, uint64(1))
}

// An edit must be accepted while an entry is silent, and must list that entry as
// lagging: behind a partition it may still serve the old row.
func TestSilentEntryIsListedAsLagging(t *testing.T) {
	s := start(t)
	s.Entries[2].Stop()
	a := sendRequest(t, s, "PUT", "/v1/table/pool/lm", columnsBody("slots=9"), "If-Match", `"1"`)
	assert.Equal(t, a.status, 200, a.body)
	assert.Equal(t, a.Force.Entries, 3)
	assert.Equal(t, a.Force.InForce, 2)
	assert.DeepEqual(t, a.Force.Lagging, []string{"entry-3"})
	later := sendRequest(t, s, "GET", fmt.Sprintf("/v1/force/%d", a.Force.Revision), "")
	assert.Assert(t, strings.Contains(later.body, `"entry-3"`), later.body)
}

func TestInvalidAndDuplicateOperatorsAreRefused(t *testing.T) {
	digest, other := strings.Repeat("ab", 32), strings.Repeat("cd", 32)
	for want, ops := range map[string][]operators.Operator{
		`"operator.name": operator 1`:             {{KeySHA256: digest}},
		`operator 1 ("a\nb")`:                     {{Name: "a\nb", KeySHA256: digest}},
		`operator 2 ("asha"): the name is used`:   {{Name: "asha", KeySHA256: digest}, {Name: "asha", KeySHA256: other}},
		`64 hexadecimal digits`:                   {{Name: "asha", KeySHA256: digest[2:]}},
		`operator "asha" has the same key`:        {{Name: "asha", KeySHA256: digest}, {Name: "bela", KeySHA256: strings.ToUpper(digest)}},
		`"operator.key_sha256": operator 1 ("a")`: {{Name: "a", KeySHA256: "zz"}},
	} {
		err := operators.CheckOperators(ops)
		assert.ErrorIs(t, err, operators.ErrSettings)
		assert.ErrorContains(t, err, want)
	}
	assert.NilError(t, operators.CheckOperators([]operators.Operator{{Name: "a", KeySHA256: digest}, {Name: "b", KeySHA256: other}}))
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// Each accepted edit must be logged once, also if it is sent twice, and without
// column values, which may hold digests of keys.
func TestEditsAreLoggedOnceWithoutValues(t *testing.T) {
	logged := &lockedBuffer{}
	s, err := quickstart.Start(context.Background(), quickstart.Options{Log: log.NewLogfmtLogger(logged)})
	assert.NilError(t, err)
	t.Cleanup(s.Stop)
	assert.NilError(t, s.WaitReady(context.Background()))
	digest := strings.Repeat("ab", 32)
	for range 2 {
		a := sendRequest(t, s, "PUT", "/v1/table/team/buyers", columnsBody("key_sha256="+digest), "If-None-Match", "*", "Idempotency-Key", "e1")
		assert.Equal(t, a.status, 200, a.body)
	}
	const line = `msg="Changed a row." by=quickstart row="team buyers" version=1`
	assert.Equal(t, strings.Count(logged.String(), line), 1)
	assert.Equal(t, sendRequest(t, s, "DELETE", "/v1/table/team/buyers", "", "If-Match", `"1"`).status, 200)
	assert.Assert(t, strings.Contains(logged.String(), `msg="Deleted a row." by=quickstart row="team buyers" version=2`))
	assert.Assert(t, !strings.Contains(logged.String(), digest))
}
