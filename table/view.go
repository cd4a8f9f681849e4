package table

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/wire"
)

// Source identifies the version of the row from which a typed value was made, so that a refusal can
// name the row that caused it.
type Source struct {
	Kind, Key         string
	Version, Revision uint64
}

// Team is a typed team row.
type Team struct {
	Source
	Name        string
	KeyDigests  [][sha256.Size]byte
	MaxPriority wire.Priority
}

// Service is a typed service row.
type Service struct {
	Source
	Name       string
	Kind       string
	Pool       string
	Models     []string
	Idempotent bool
	Priority   wire.Priority
	Timeout    time.Duration
	MaxBody    int64
	MaxQueue   int
	ClaimTTL   time.Duration
}

// Pool is a typed pool row.
type Pool struct {
	Source
	Name          string
	Route         string
	MaxQueue      int
	Slots         int
	RetryPercent  int
	UrgentPercent int
}

// Limit is a typed limit row; 0 means no limit.
type Limit struct {
	Source
	Requests   float64
	Tokens     float64
	Concurrent int
}

// Weight is a typed weight row.
type Weight struct {
	Source
	Weight int
}

// Group is a typed group row.
type Group struct {
	Source
	Name                               string
	Pool                               string
	Ranks, Experts, Layers, SpareSlots int
	Planner                            string
	SkewWeight, MoveWeight             float64
	ExpertBytes, StoreRate             float64
	StepTime                           time.Duration
	Paused                             bool
}

// View is an immutable, checked state of the table at one revision.
type View struct {
	Revision uint64
	Teams    map[string]*Team
	Services map[string]*Service
	Pools    map[string]*Pool
	Groups   map[string]*Group
	// Evacuated has the evacuated failure domains.
	Evacuated map[string]bool
	limits    map[string]*Limit
	weights   map[string]*Weight
	byModel   map[string]*Service
	byKey     map[[sha256.Size]byte]*Team
}

// NewView checks rows and returns their view. Deleted rows are left out.
func NewView(revision uint64, rows []*wire.Row) (*View, error) {
	v := &View{
		Revision:  revision,
		Teams:     map[string]*Team{},
		Services:  map[string]*Service{},
		Pools:     map[string]*Pool{},
		Groups:    map[string]*Group{},
		Evacuated: map[string]bool{},
		limits:    map[string]*Limit{},
		weights:   map[string]*Weight{},
		byModel:   map[string]*Service{},
		byKey:     map[[sha256.Size]byte]*Team{},
	}
	for _, r := range rows {
		if err := v.checkAndAdd(r); err != nil {
			return nil, err
		}
	}
	if err := v.checkReferences(); err != nil {
		return nil, err
	}
	return v, nil
}

func (v *View) checkAndAdd(r *wire.Row) error {
	if r.Deleted {
		return nil
	}
	if err := CheckRow(r.Kind, r.Key, r.Columns); err != nil {
		return err
	}
	v.add(r)
	return nil
}

// cells parses the cells of a row. They have been checked, so parsing can't fail.
type cells struct{ row *wire.Row }

func (c cells) text(name string) string {
	if s := c.row.Columns[name]; s != "" {
		return s
	}
	for _, col := range Schema[c.row.Kind] {
		if col.Name == name {
			return col.Default
		}
	}
	return ""
}

func (c cells) int(name string) int {
	n, _ := strconv.ParseInt(c.text(name), 10, 64)
	return int(n)
}

func (c cells) float(name string) float64 {
	f, _ := strconv.ParseFloat(c.text(name), 64)
	return f
}

func (c cells) yes(name string) bool { return c.text(name) == "yes" }

func (c cells) millis(name string) time.Duration {
	return time.Duration(c.int(name)) * time.Millisecond
}

// ParsePriority returns the priority with a name, or PRIORITY_UNSPECIFIED.
func ParsePriority(word string) wire.Priority {
	switch word {
	case "urgent":
		return wire.Priority_PRIORITY_URGENT
	case "normal":
		return wire.Priority_PRIORITY_NORMAL
	case "batch":
		return wire.Priority_PRIORITY_BATCH
	}
	return wire.Priority_PRIORITY_UNSPECIFIED
}

func (v *View) add(r *wire.Row) {
	c := cells{r}
	src := Source{Kind: r.Kind, Key: r.Key, Version: r.Version, Revision: r.Revision}
	switch r.Kind {
	case KindTeam:
		v.addTeam(src, c)
	case KindService:
		v.addService(src, c)
	case KindPool:
		v.Pools[r.Key] = &Pool{
			Source: src, Name: r.Key, Route: c.text("route"),
			MaxQueue: c.int("max_queue"), Slots: c.int("slots"),
			RetryPercent: c.int("retry_percent"), UrgentPercent: c.int("urgent_percent"),
		}
	case KindLimit:
		v.limits[r.Key] = &Limit{
			Source: src, Requests: c.float("requests_per_second"),
			Tokens: c.float("tokens_per_second"), Concurrent: c.int("concurrent"),
		}
	case KindEvacuation:
		if c.yes("evacuated") {
			v.Evacuated[r.Key] = true
		}
	case KindWeight:
		v.weights[r.Key] = &Weight{Source: src, Weight: c.int("weight")}
	case KindGroup:
		v.Groups[r.Key] = &Group{
			Source: src, Name: r.Key, Pool: c.text("pool"),
			Ranks: c.int("ranks"), Experts: c.int("experts"), Layers: c.int("layers"),
			SpareSlots: c.int("spare_slots"), Planner: c.text("planner"),
			SkewWeight: c.float("skew_weight"), MoveWeight: c.float("move_weight"),
			ExpertBytes: c.float("expert_bytes"), StoreRate: c.float("store_bytes_per_second"),
			StepTime: time.Duration(c.int("step_us")) * time.Microsecond,
			Paused:   c.yes("paused"),
		}
	}
}

func (v *View) addTeam(src Source, c cells) {
	t := &Team{Source: src, Name: src.Key, MaxPriority: ParsePriority(c.text("max_priority"))}
	for _, h := range strings.Split(c.text("key_sha256"), ",") {
		var d [sha256.Size]byte
		b, _ := hex.DecodeString(strings.TrimSpace(h))
		copy(d[:], b)
		t.KeyDigests = append(t.KeyDigests, d)
		v.byKey[d] = t
	}
	v.Teams[t.Name] = t
}

func (v *View) addService(src Source, c cells) {
	s := &Service{
		Source: src, Name: src.Key, Kind: c.text("kind"), Pool: c.text("pool"),
		Idempotent: c.yes("idempotent"), Priority: ParsePriority(c.text("priority")),
		Timeout: c.millis("timeout_ms"), MaxBody: int64(c.int("max_body_bytes")),
		MaxQueue: c.int("max_queue"), ClaimTTL: c.millis("claim_ttl_ms"),
	}
	models := c.text("models")
	if models == "" {
		models = src.Key
	}
	for _, m := range strings.Split(models, ",") {
		m = strings.TrimSpace(m)
		s.Models = append(s.Models, m)
		if s.Kind == "engine" {
			v.byModel[m] = s
		}
	}
	v.Services[s.Name] = s
}

func (v *View) checkReferences() error {
	for _, s := range v.Services {
		if err := v.checkPool(s.Source, s.Pool); err != nil {
			return err
		}
	}
	for _, g := range v.Groups {
		if err := v.checkPool(g.Source, g.Pool); err != nil {
			return err
		}
	}
	for key, l := range v.limits {
		if err := v.checkPair(l.Source, key); err != nil {
			return err
		}
	}
	for key, w := range v.weights {
		if err := v.checkPair(w.Source, key); err != nil {
			return err
		}
	}
	return nil
}

func (v *View) checkPool(src Source, pool string) error {
	if v.Pools[pool] == nil {
		return v.referenceError(src, "pool", "no pool "+strconv.Quote(pool))
	}
	return nil
}

func (v *View) checkPair(src Source, key string) error {
	team, service, _ := strings.Cut(key, "/")
	if v.Teams[team] == nil {
		return v.referenceError(src, "key", "no team "+strconv.Quote(team))
	}
	if service != "*" && v.Services[service] == nil {
		return v.referenceError(src, "key", "no service "+strconv.Quote(service))
	}
	return nil
}

func (v *View) referenceError(src Source, column, detail string) error {
	err := &ColumnError{Kind: src.Kind, Key: src.Key, Column: column, Detail: detail}
	return merry.Wrap(err, merry.WithCause(ErrReference))
}

// TeamByKey returns the team of a bearer key, or nil. It finds the team by the key's digest, and then
// compares the digests in constant time.
func (v *View) TeamByKey(key string) *Team {
	digest := sha256.Sum256([]byte(key))
	t := v.byKey[digest]
	if t == nil {
		return nil
	}
	for _, d := range t.KeyDigests {
		if subtle.ConstantTimeCompare(d[:], digest[:]) == 1 {
			return t
		}
	}
	return nil
}

// ServiceByModel returns the engine service that serves a model, or nil.
func (v *View) ServiceByModel(model string) *Service { return v.byModel[model] }

// Limit returns the limit of a team at a service: the row for the pair, or else the team's row for all
// services, or nil.
func (v *View) Limit(team, service string) *Limit {
	if l := v.limits[team+"/"+service]; l != nil {
		return l
	}
	return v.limits[team+"/*"]
}

// Weight returns the weight of a team at a service, which is 1 if no row sets it.
func (v *View) Weight(team, service string) int {
	if w := v.weights[team+"/"+service]; w != nil {
		return w.Weight
	}
	if w := v.weights[team+"/*"]; w != nil {
		return w.Weight
	}
	return 1
}
