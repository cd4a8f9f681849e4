// Package operators is what operators reach over HTTP: the table, its history,
// the members of the log, and one page to edit rows.
package operators

import (
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
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/table"
	"github.com/snipereach/snipereach/wire"
)

// ErrSettings is returned for operators that can't be told apart.
var ErrSettings = merry.Sentinel("operator settings are invalid")

// Times and bounds of the interface.
const (
	callTimeout = 10 * time.Second
	// forceWait is how long an edit's answer waits for the entries.
	forceWait = 3 * time.Second
	forcePoll = 10 * time.Millisecond
	maxBody   = 4 << 20
	// maxApply is how many rows one request may edit.
	maxApply = 5000
	// maxName bounds an operator's name, in bytes.
	maxName = 64
)

// Operator is one person or program that may edit.
type Operator struct {
	Name string `toml:"name"`
	// KeySHA256 is the digest of the operator's bearer key, in hex.
	KeySHA256 string `toml:"key_sha256"`
}

// Handler serves operators.
type Handler struct {
	client *control.Client
	system System
	keys   map[[sha256.Size]byte]string
	counts counts
	log    log.Logger
}

// New makes a handler, which counts in a registry.
func New(ops []Operator, client *control.Client, system System, r metrics.Registry, l log.Logger) (*Handler, error) {
	keys, err := keysOf(ops)
	if err != nil {
		return nil, err
	}
	return &Handler{client: client, system: system, keys: keys, counts: newCounts(r), log: kernel.PartLog(l, "operators")}, nil
}

// counts are of edits by how they ended, and of calls without a known key.
type counts struct {
	accepted, conflicts, invalid, undecided, unauthenticated metrics.Counter
}

func newCounts(r metrics.Registry) counts {
	return counts{
		accepted:        metrics.GetOrRegisterCounter("operators.edits.accepted", r),
		conflicts:       metrics.GetOrRegisterCounter("operators.edits.conflicts", r),
		invalid:         metrics.GetOrRegisterCounter("operators.edits.invalid", r),
		undecided:       metrics.GetOrRegisterCounter("operators.edits.undecided", r),
		unauthenticated: metrics.GetOrRegisterCounter("operators.unauthenticated", r),
	}
}

// CheckOperators names the first operator that can't be told apart.
func CheckOperators(ops []Operator) error {
	_, err := keysOf(ops)
	return err
}

// keysOf maps key digests to names. Two operators with one name or one key would
// be one in the history.
func keysOf(ops []Operator) (map[[sha256.Size]byte]string, error) {
	keys := map[[sha256.Size]byte]string{}
	names := map[string]bool{}
	for i, o := range ops {
		bad := func(key, detail string) error {
			return merry.Prependf(ErrSettings, "key \"operator.%s\": operator %d (%q): %s", key, i+1, o.Name, detail)
		}
		if o.Name == "" || len(o.Name) > maxName || strings.ContainsFunc(o.Name, unicode.IsControl) {
			return nil, bad("name", "1 to "+strconv.Itoa(maxName)+" printable bytes are needed")
		}
		if names[o.Name] {
			return nil, bad("name", "the name stands twice")
		}
		names[o.Name] = true
		raw, err := hex.DecodeString(o.KeySHA256)
		if err != nil || len(raw) != sha256.Size {
			return nil, bad("key_sha256", "64 hexadecimal digits are needed")
		}
		digest := [sha256.Size]byte(raw)
		if other, ok := keys[digest]; ok {
			return nil, bad("key_sha256", "operator "+strconv.Quote(other)+" has the same key")
		}
		keys[digest] = o.Name
	}
	return keys, nil
}

// Register adds the routes.
func (h *Handler) Register(r *mux.Router) {
	registerPage(r)
	r.HandleFunc("/v1/schema", h.with(h.schema)).Methods(http.MethodGet)
	r.HandleFunc("/v1/table", h.with(h.list)).Methods(http.MethodGet)
	r.HandleFunc("/v1/table", h.with(h.apply)).Methods(http.MethodPost)
	r.HandleFunc("/v1/table/{kind}", h.with(h.list)).Methods(http.MethodGet)
	r.HandleFunc("/v1/table/{kind}/{key:.+}", h.with(h.get)).Methods(http.MethodGet)
	r.HandleFunc("/v1/table/{kind}/{key:.+}", h.with(h.put)).Methods(http.MethodPut, http.MethodDelete)
	r.HandleFunc("/v1/history/{kind}/{key:.+}", h.with(h.history)).Methods(http.MethodGet)
	r.HandleFunc("/v1/force/{revision:[0-9]+}", h.with(h.inForce)).Methods(http.MethodGet)
	h.registerGroups(r)
	r.HandleFunc("/v1/members", h.with(h.members)).Methods(http.MethodGet)
	r.HandleFunc("/v1/members/{id:.+}", h.with(h.removeMember)).Methods(http.MethodDelete)
	r.HandleFunc("/v1/replace/{id:.+}", h.with(h.replaceMember)).Methods(http.MethodPost)
	r.HandleFunc("/v1/quarantine", h.with(h.suspicions)).Methods(http.MethodGet)
	r.HandleFunc("/v1/quarantine/{key}", h.with(h.liftQuarantine)).Methods(http.MethodDelete)
	r.HandleFunc("/v1/status", h.with(h.status)).Methods(http.MethodGet)
	r.HandleFunc("/v1/dump/{id:.+}", h.with(h.dump)).Methods(http.MethodGet)
	r.HandleFunc("/v1/drain/{id:.+}", h.with(h.drain)).Methods(http.MethodPost)
}

// call is one authenticated request.
type call struct {
	w        http.ResponseWriter
	r        *http.Request
	operator string
}

// problem is an RFC 9457 answer.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Row    string `json:"row,omitempty"`
	Column string `json:"column,omitempty"`
	// InForce are the rows that an edit conflicted with.
	InForce []Row `json:"in_force,omitempty"`
}

func (c *call) problem(status int, title, detail string) {
	c.writeProblem(&problem{Type: "about:blank", Title: title, Status: status, Detail: detail})
}

func (c *call) writeProblem(p *problem) {
	c.w.Header().Set("Content-Type", "application/problem+json")
	c.w.WriteHeader(p.Status)
	_ = json.NewEncoder(c.w).Encode(p)
}

// with checks who calls and bounds the call.
func (h *Handler) with(f func(*call)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// Rows are never kept by a cache: a stale one would be edited as if in force.
		w.Header().Set("Cache-Control", "no-store")
		w.Header().Set("X-Content-Type-Options", "nosniff")
		c := &call{w: w, r: r}
		c.operator = h.operator(r)
		if c.operator == "" {
			h.counts.unauthenticated.Inc(1)
			kernel.Debug(h.log, "Refused a call without a known key.", "from", r.RemoteAddr)
			w.Header().Set("WWW-Authenticate", "Bearer")
			c.problem(http.StatusUnauthorized, "Operators identify themselves.", "header Authorization: Bearer KEY is needed")
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		defer cancel()
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		c.r = r.WithContext(ctx)
		f(c)
	}
}

// Authenticated guards a handler of the operators' address by the operators' keys.
func (h *Handler) Authenticated(next http.Handler) http.Handler {
	return h.with(func(c *call) { next.ServeHTTP(c.w, c.r) })
}

// operator returns the caller's name, or "". The digest is looked up, and then
// compared in constant time.
func (h *Handler) operator(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	digest := sha256.Sum256([]byte(key))
	for known, name := range h.keys {
		if subtle.ConstantTimeCompare(known[:], digest[:]) == 1 {
			return name
		}
	}
	return ""
}

// Row is a row as operators see it.
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

// RowOf shows a row of the table.
func RowOf(r *wire.Row) Row {
	row := Row{
		Kind: r.Kind, Key: r.Key, Columns: r.Columns, Version: r.Version,
		Revision: r.Revision, ChangedBy: r.ChangedBy, Deleted: r.Deleted,
	}
	if row.Columns == nil {
		// A row of defaults only: clients expect an object, not null.
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

// Rows is a list of rows at one revision.
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

func (h *Handler) schema(c *call) {
	kinds := map[string][]column{}
	for kind, cols := range table.Schema {
		for _, col := range cols {
			kinds[kind] = append(kinds[kind], column{col.Name, col.Default, col.Unit, col.Doc})
		}
	}
	kernel.WriteJSON(c.w, http.StatusOK, kinds)
}

func (h *Handler) read(c *call, kind, key string) (*wire.ReadReply, bool) {
	if kind != "" && table.Schema[kind] == nil {
		c.problem(http.StatusNotFound, "No such kind of rows.", "known kinds: "+strings.Join(table.Kinds(), ", "))
		return nil, false
	}
	reply, err := h.client.Read(c.r.Context(), &wire.ReadRequest{Kind: kind, Key: key, Linearizable: true})
	if err != nil {
		c.problem(http.StatusServiceUnavailable, "The table can't be read now.", err.Error())
		return nil, false
	}
	return reply, true
}

func (h *Handler) list(c *call) {
	reply, ok := h.read(c, mux.Vars(c.r)["kind"], "")
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

func (h *Handler) get(c *call) {
	v := mux.Vars(c.r)
	reply, ok := h.read(c, v["kind"], v["key"])
	if !ok {
		return
	}
	if len(reply.Rows) == 0 {
		c.problem(http.StatusNotFound, "No such row.", v["kind"]+" "+v["key"])
		return
	}
	c.w.Header().Set("ETag", etag(reply.Rows[0].Version))
	kernel.WriteJSON(c.w, http.StatusOK, RowOf(reply.Rows[0]))
}

// errNoBase is returned for an edit that doesn't say what it is based on.
var errNoBase = errors.New("header If-Match with the row's ETag is needed, or If-None-Match: * for a new row")

func (c *call) decode(v any) bool {
	dec := json.NewDecoder(c.r.Body)
	dec.DisallowUnknownFields()
	err := dec.Decode(v)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		c.problem(http.StatusRequestEntityTooLarge, "The body is too large.", "at most "+strconv.Itoa(maxBody)+" bytes are taken")
		return false
	}
	if err != nil {
		c.problem(http.StatusBadRequest, "The body is not what is expected.", err.Error())
		return false
	}
	if _, err := dec.Token(); err != io.EOF {
		c.problem(http.StatusBadRequest, "The body is not what is expected.", "more follows the JSON value")
		return false
	}
	return true
}

func (h *Handler) history(c *call) {
	v := mux.Vars(c.r)
	req := &wire.HistoryRequest{Kind: v["kind"], Key: v["key"]}
	if at := c.r.URL.Query().Get("at_revision"); at != "" {
		n, err := strconv.ParseUint(at, 10, 64)
		if err != nil {
			c.problem(http.StatusBadRequest, "Not a revision.", err.Error())
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
		c.problem(http.StatusServiceUnavailable, "The history can't be read now.", err.Error())
		return
	}
	kernel.WriteJSON(c.w, http.StatusOK, Rows{Rows: rowsOf(reply.Rows)})
}
