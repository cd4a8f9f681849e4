// Package operators serves the HTTP interface for operators: the configuration
// table and its history, expert maps of groups, members of the replicated log,
// quarantined requests, status, drain and state dumps, and a web page to edit
// rows.
package operators

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/ansel1/merry/v2"
	"github.com/go-kit/log"
	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"

	"github.com/snipereach/snipereach/control"
	"github.com/snipereach/snipereach/httpserver"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/table"
	"github.com/snipereach/snipereach/wire"
)

// ErrSettings is returned for operators with an invalid or duplicate name or key.
var ErrSettings = merry.Sentinel("operator settings are invalid")

// Time limits and size limits of requests.
const (
	requestTimeout = 10 * time.Second
	// propagationWait is the longest time that the response to an edit is held
	// back until the entries have applied it.
	propagationWait         = 3 * time.Second
	propagationPollInterval = 10 * time.Millisecond
	maxBodyBytes            = 4 << 20
	// maxEditRows is the most rows that one request may edit.
	maxEditRows  = 5000
	maxNameBytes = 64
)

// Operator is a person or program that may use the interface.
type Operator struct {
	Name string `toml:"name"`
	// KeySHA256 is the hexadecimal SHA-256 digest of the operator's bearer key.
	KeySHA256 string `toml:"key_sha256"`
}

// Handler serves the HTTP interface for operators.
type Handler struct {
	client   *control.Client
	system   System
	names    map[[sha256.Size]byte]string
	counters counters
	log      log.Logger
}

// New returns a handler that registers its counters in r. It returns ErrSettings
// for invalid operators.
func New(ops []Operator, client *control.Client, system System, r metrics.Registry, l log.Logger) (*Handler, error) {
	names, err := namesByKey(ops)
	if err != nil {
		return nil, err
	}
	return &Handler{client: client, system: system, names: names, counters: newCounters(r), log: kernel.PartLog(l, "operators")}, nil
}

// counters count edits by outcome, and requests without a known key.
type counters struct {
	accepted, conflicts, invalid, undecided, unauthenticated metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	return counters{
		accepted:        metrics.GetOrRegisterCounter("operators.edits.accepted", r),
		conflicts:       metrics.GetOrRegisterCounter("operators.edits.conflicts", r),
		invalid:         metrics.GetOrRegisterCounter("operators.edits.invalid", r),
		undecided:       metrics.GetOrRegisterCounter("operators.edits.undecided", r),
		unauthenticated: metrics.GetOrRegisterCounter("operators.unauthenticated", r),
	}
}

// CheckOperators returns ErrSettings with the first operator whose name or key is
// invalid or already in use.
func CheckOperators(ops []Operator) error {
	_, err := namesByKey(ops)
	return err
}

// namesByKey maps key digests to operator names. Names and keys must be unique:
// the history identifies the author of an edit by name only.
func namesByKey(ops []Operator) (map[[sha256.Size]byte]string, error) {
	namesByDigest := map[[sha256.Size]byte]string{}
	seen := map[string]bool{}
	for i, o := range ops {
		invalid := func(key, detail string) error {
			return merry.Prependf(ErrSettings, "key \"operator.%s\": operator %d (%q): %s", key, i+1, o.Name, detail)
		}
		if o.Name == "" || len(o.Name) > maxNameBytes || strings.ContainsFunc(o.Name, unicode.IsControl) {
			return nil, invalid("name", "1 to "+strconv.Itoa(maxNameBytes)+" printable bytes are needed")
		}
		if seen[o.Name] {
			return nil, invalid("name", "the name is used twice")
		}
		seen[o.Name] = true
		raw, err := hex.DecodeString(o.KeySHA256)
		if err != nil || len(raw) != sha256.Size {
			return nil, invalid("key_sha256", "64 hexadecimal digits are needed")
		}
		digest := [sha256.Size]byte(raw)
		if other, ok := namesByDigest[digest]; ok {
			return nil, invalid("key_sha256", "operator "+strconv.Quote(other)+" has the same key")
		}
		namesByDigest[digest] = o.Name
	}
	return namesByDigest, nil
}

// Register adds the routes of the interface to r.
func (h *Handler) Register(r *mux.Router) {
	registerPage(r)
	r.HandleFunc("/v1/schema", h.withAuth(h.getSchema)).Methods(http.MethodGet)
	r.HandleFunc("/v1/table", h.withAuth(h.listRows)).Methods(http.MethodGet)
	r.HandleFunc("/v1/table", h.withAuth(h.applyRows)).Methods(http.MethodPost)
	r.HandleFunc("/v1/table/{kind}", h.withAuth(h.listRows)).Methods(http.MethodGet)
	r.HandleFunc("/v1/table/{kind}/{key:.+}", h.withAuth(h.getRow)).Methods(http.MethodGet)
	r.HandleFunc("/v1/table/{kind}/{key:.+}", h.withAuth(h.editRow)).Methods(http.MethodPut, http.MethodDelete)
	r.HandleFunc("/v1/history/{kind}/{key:.+}", h.withAuth(h.getHistory)).Methods(http.MethodGet)
	r.HandleFunc("/v1/force/{revision:[0-9]+}", h.withAuth(h.getPropagation)).Methods(http.MethodGet)
	h.registerGroups(r)
	r.HandleFunc("/v1/members", h.withAuth(h.listMembers)).Methods(http.MethodGet)
	r.HandleFunc("/v1/members/{id:.+}", h.withAuth(h.removeMember)).Methods(http.MethodDelete)
	r.HandleFunc("/v1/replace/{id:.+}", h.withAuth(h.replaceMember)).Methods(http.MethodPost)
	r.HandleFunc("/v1/backpressure", h.withAuth(h.listBackpressure)).Methods(http.MethodGet)
	r.HandleFunc("/v1/demand", h.withAuth(h.listDemand)).Methods(http.MethodGet)
	r.HandleFunc("/v1/quarantine", h.withAuth(h.listSuspected)).Methods(http.MethodGet)
	r.HandleFunc("/v1/quarantine/{key}", h.withAuth(h.liftQuarantine)).Methods(http.MethodDelete)
	r.HandleFunc("/v1/status", h.withAuth(h.getStatus)).Methods(http.MethodGet)
	r.HandleFunc("/v1/dump/{id:.+}", h.withAuth(h.dumpProcess)).Methods(http.MethodGet)
	r.HandleFunc("/v1/drain/{id:.+}", h.withAuth(h.drainProcess)).Methods(http.MethodPost)
}

// call is a request and its response writer. operator is the name of the
// authenticated operator.
type call struct {
	w        http.ResponseWriter
	r        *http.Request
	operator string
}

// problem is an RFC 9457 problem details object.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Row    string `json:"row,omitempty"`
	Column string `json:"column,omitempty"`
	// InForce holds the current rows that the edit conflicted with.
	InForce []Row `json:"in_force,omitempty"`
}

func (c *call) writeError(status int, title, detail string) {
	c.writeProblem(&problem{Type: "about:blank", Title: title, Status: status, Detail: detail})
}

func (c *call) writeProblem(p *problem) {
	c.w.Header().Set("Content-Type", "application/problem+json")
	c.w.WriteHeader(p.Status)
	_ = json.NewEncoder(c.w).Encode(p)
}

// withAuth returns a handler that authenticates the operator and limits the
// duration and the body size of the request.
func (h *Handler) withAuth(f func(*call)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// A cached response would let an operator edit a stale row.
		w.Header().Set("Cache-Control", "no-store")
		w.Header().Set("X-Content-Type-Options", "nosniff")
		c := &call{w: w, r: r}
		c.operator = h.authenticate(r)
		if c.operator == "" {
			h.counters.unauthenticated.Inc(1)
			kernel.Debug(h.log, "Request refused: missing or unknown operator key.", "from", r.RemoteAddr)
			w.Header().Set("WWW-Authenticate", "Bearer")
			c.writeError(http.StatusUnauthorized, "Operators identify themselves.", "header Authorization: Bearer KEY is needed")
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		c.r = r.WithContext(ctx)
		f(c)
	}
}

// Authenticated returns a handler that serves next only to authenticated
// operators.
func (h *Handler) Authenticated(next http.Handler) http.Handler {
	return h.withAuth(func(c *call) { next.ServeHTTP(c.w, c.r) })
}

// authenticate returns the name of the operator whose bearer key the request
// carries, or "". Digests of keys are compared in constant time.
func (h *Handler) authenticate(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	digest := sha256.Sum256([]byte(key))
	for known, name := range h.names {
		if subtle.ConstantTimeCompare(known[:], digest[:]) == 1 {
			return name
		}
	}
	return ""
}

// Row is the JSON form of a row of the table.
type Row struct {
	Kind      string            `json:"kind"`
	Key       string            `json:"key"`
	Columns   map[string]string `json:"columns"`
	Version   uint64            `json:"version"`
	Revision  uint64            `json:"revision"`
	ChangedBy string            `json:"changed_by,omitempty"`
	ChangedAt string            `json:"changed_at,omitempty"`
	Deleted   bool              `json:"deleted,omitempty"`
}

// RowOf converts a row of the table to its JSON form.
func RowOf(r *wire.Row) Row {
	row := Row{
		Kind: r.Kind, Key: r.Key, Columns: r.Columns, Version: r.Version,
		Revision: r.Revision, ChangedBy: r.ChangedBy, Deleted: r.Deleted,
	}
	if row.Columns == nil {
		// Clients expect an object, not null, also if all columns have defaults.
		row.Columns = map[string]string{}
	}
	if r.ChangedAtMs != 0 {
		row.ChangedAt = time.UnixMilli(r.ChangedAtMs).UTC().Format(time.RFC3339Nano)
	}
	return row
}

func rowsOf(list []*wire.Row) []Row {
	rows := make([]Row, 0, len(list))
	for _, r := range list {
		rows = append(rows, RowOf(r))
	}
	return rows
}

// Rows is a list of rows. Revision is the revision of the table that they were
// read at; 0 in a row's history.
type Rows struct {
	Revision uint64 `json:"revision"`
	Rows     []Row  `json:"rows"`
}

type column struct {
	Name    string `json:"name"`
	Default string `json:"default,omitempty"`
	Unit    string `json:"unit,omitempty"`
	Doc     string `json:"doc"`
}

func (h *Handler) getSchema(c *call) {
	kinds := map[string][]column{}
	for kind, cols := range table.Schema {
		for _, col := range cols {
			kinds[kind] = append(kinds[kind], column{col.Name, col.Default, col.Unit, col.Doc})
		}
	}
	kernel.WriteJSON(c.w, http.StatusOK, kinds)
}

func (h *Handler) readRows(c *call, kind, key string) (*wire.ReadReply, bool) {
	if kind != "" && table.Schema[kind] == nil {
		c.writeError(http.StatusNotFound, "Unknown row kind.", "known kinds: "+strings.Join(table.Kinds(), ", "))
		return nil, false
	}
	reply, err := h.client.Read(c.r.Context(), &wire.ReadRequest{Kind: kind, Key: key, Linearizable: true})
	if err != nil {
		c.writeError(http.StatusServiceUnavailable, "The table can't be read now.", err.Error())
		return nil, false
	}
	return reply, true
}

func (h *Handler) listRows(c *call) {
	reply, ok := h.readRows(c, mux.Vars(c.r)["kind"], "")
	if !ok {
		return
	}
	if strings.Contains(c.r.Header.Get("Accept"), "text/tab-separated-values") {
		c.w.Header().Set("Content-Type", "text/tab-separated-values")
		_ = table.WriteTSV(c.w, reply.Rows)
		return
	}
	kernel.WriteJSON(c.w, http.StatusOK, Rows{reply.Revision, rowsOf(reply.Rows)})
}

func etag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

func (h *Handler) getRow(c *call) {
	v := mux.Vars(c.r)
	reply, ok := h.readRows(c, v["kind"], v["key"])
	if !ok {
		return
	}
	if len(reply.Rows) == 0 {
		c.writeError(http.StatusNotFound, "No such row.", v["kind"]+" "+v["key"])
		return
	}
	c.w.Header().Set("ETag", etag(reply.Rows[0].Version))
	kernel.WriteJSON(c.w, http.StatusOK, RowOf(reply.Rows[0]))
}

// errNoPrecondition is returned for an edit with neither If-Match nor
// If-None-Match.
var errNoPrecondition = errors.New("header If-Match with the row's ETag is needed, or If-None-Match: * for a new row")

func (c *call) decodeBody(v any) bool {
	deadline, _ := c.r.Context().Deadline()
	body, err := httpserver.ReadBody(c.w, c.r, httpserver.BodyLimits{Bytes: maxBodyBytes, Deadline: deadline})
	if err != nil {
		c.refuseBody(err)
		return false
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		c.writeError(http.StatusBadRequest, "The body is malformed.", err.Error())
		return false
	}
	if _, err := dec.Token(); err != io.EOF {
		c.writeError(http.StatusBadRequest, "The body is malformed.", "unexpected data after the JSON value")
		return false
	}
	return true
}

// refuseBody answers a request whose body could not be read. Nothing was changed.
func (c *call) refuseBody(err error) {
	title := "The body is malformed."
	switch {
	case errors.Is(err, httpserver.ErrBodyTooLarge):
		title, err = "The body is too large.", merry.Prependf(httpserver.ErrBodyTooLarge, "at most %d bytes are accepted", maxBodyBytes)
	case errors.Is(err, httpserver.ErrBodyTimeout):
		title = "The body was not received in time."
	case errors.Is(err, httpserver.ErrNoMemory):
		title = "There is too little memory for the body now."
		c.w.Header().Set("Retry-After", "1")
	}
	c.writeError(httpserver.BodyStatus(err), title, err.Error())
}

func (h *Handler) getHistory(c *call) {
	v := mux.Vars(c.r)
	req := &wire.HistoryRequest{Kind: v["kind"], Key: v["key"]}
	if at := c.r.URL.Query().Get("at_revision"); at != "" {
		n, err := strconv.ParseUint(at, 10, 64)
		if err != nil {
			c.writeError(http.StatusBadRequest, "The revision is malformed.", err.Error())
			return
		}
		req.AtRevision = n
	}
	var reply *wire.HistoryReply
	err := h.client.Call(c.r.Context(), func(ctx context.Context, cc wire.DRPCControlClient) (err error) {
		reply, err = cc.History(ctx, req)
		return err
	})
	if err != nil {
		c.writeError(http.StatusServiceUnavailable, "The history can't be read now.", err.Error())
		return
	}
	kernel.WriteJSON(c.w, http.StatusOK, Rows{Rows: rowsOf(reply.Rows)})
}
