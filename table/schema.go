package table

import (
	"encoding/hex"
	"sort"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/wire"
)

// Kinds of rows.
const (
	KindTeam    = "team"
	KindService = "service"
	KindPool    = "pool"
	KindLimit   = "limit"
	KindWeight  = "weight"
	KindGroup   = "group"
	// KindEvacuation rows are named after failure domains. They are set to "no" rather than deleted
	// when an evacuation ends, so that an order that arrives late has an outdated base version.
	KindEvacuation = "evacuation"
)

// ColumnKeySHA256 is the column with the digests of a team's bearer keys, which callers must not see.
const ColumnKeySHA256 = "key_sha256"

// Errors of row checks.
var (
	ErrUnknownKind   = merry.Sentinel("unknown row kind")
	ErrUnknownColumn = merry.Sentinel("unknown column")
	ErrInvalidColumn = merry.Sentinel("invalid column")
	ErrInvalidKey    = merry.Sentinel("invalid row key")
	ErrReference     = merry.Sentinel("row refers to a row that does not exist")
)

// Column describes a column of a kind of rows.
type Column struct {
	Name string
	// Default applies to an empty cell.
	Default string
	// Unit is for example "ms" or "requests/s"; empty for plain text.
	Unit string
	Doc  string
	// check returns what is wrong with a cell, or "".
	check func(string) string
}

func oneOf(words ...string) func(string) string {
	return func(s string) string {
		for _, w := range words {
			if s == w {
				return ""
			}
		}
		return "must be one of " + strings.Join(words, ", ")
	}
}

func intBetween(lo, hi int64) func(string) string {
	return func(s string) string {
		n, err := strconv.ParseInt(s, 10, 64)
		if err == nil && n >= lo && n <= hi {
			return ""
		}
		return "must be a whole number from " + strconv.FormatInt(lo, 10) + " to " + strconv.FormatInt(hi, 10)
	}
}

func floatBetween(lo, hi float64) func(string) string {
	return func(s string) string {
		f, err := strconv.ParseFloat(s, 64)
		if err == nil && f >= lo && f <= hi {
			return ""
		}
		return "must be a number from " + strconv.FormatFloat(lo, 'g', -1, 64) + " to " + strconv.FormatFloat(hi, 'g', -1, 64)
	}
}

func sha256List(s string) string {
	for _, h := range strings.Split(s, ",") {
		b, err := hex.DecodeString(strings.TrimSpace(h))
		if err != nil || len(b) != 32 {
			return "must be SHA-256 digests in hex, 64 digits each, with commas between"
		}
	}
	return ""
}

func anyText(string) string { return "" }

func nonEmpty(s string) string {
	if s == "" {
		return "must not be empty"
	}
	return ""
}

var priorities = oneOf("urgent", "normal", "batch")

// Schema has the columns of each kind, in the order in which operators see them.
var Schema = map[string][]Column{
	KindTeam: {
		{Name: ColumnKeySHA256, Doc: "digests of the team's bearer keys", check: sha256List},
		{Name: "max_priority", Default: "normal", Doc: "highest priority the team may ask for", check: priorities},
		{Name: "contact", Doc: "whom to ask", check: anyText},
	},
	KindService: {
		{Name: "kind", Doc: "engine or plain", check: oneOf("engine", "plain")},
		{Name: "pool", Doc: "pool of upstreams that serves it", check: nonEmpty},
		{Name: "models", Doc: "model names that select it, with commas; the row key if empty", check: anyText},
		{Name: "idempotent", Default: "no", Doc: "whether a call may be run again", check: oneOf("yes", "no")},
		{Name: "priority", Default: "normal", Doc: "priority of calls that name none", check: priorities},
		{Name: "timeout_ms", Default: "30000", Unit: "ms", Doc: "deadline of one request", check: intBetween(1, 3_600_000)},
		{Name: "max_body_bytes", Default: "1048576", Unit: "bytes", Doc: "largest request or unstreamed answer", check: intBetween(1, 64<<20)},
		{Name: "max_queue", Default: "1000", Unit: "requests", Doc: "requests that may wait at one entry", check: intBetween(0, 1_000_000)},
		{Name: "claim_ttl_ms", Default: "600000", Unit: "ms", Doc: "how long an idempotency key is remembered", check: intBetween(1000, 600_000)},
	},
	KindPool: {
		{Name: "route", Default: "least-loaded", Doc: "routing plug-in", check: nonEmpty},
		{Name: "max_queue", Default: "64", Unit: "requests", Doc: "requests that may wait at one upstream", check: intBetween(0, 1_000_000)},
		{Name: "slots", Default: "8", Unit: "requests", Doc: "requests that one upstream runs at once", check: intBetween(1, 100_000)},
		{Name: "retry_percent", Default: "10", Unit: "%", Doc: "retries allowed per hundred requests", check: intBetween(0, 100)},
		{Name: "urgent_percent", Default: "10", Unit: "%", Doc: "share of the slots kept for urgent work", check: intBetween(0, 90)},
	},
	KindLimit: {
		{Name: "requests_per_second", Default: "0", Unit: "requests/s", Doc: "0 is no limit", check: floatBetween(0, 1e9)},
		{Name: "tokens_per_second", Default: "0", Unit: "tokens/s", Doc: "0 is no limit", check: floatBetween(0, 1e12)},
		{Name: "concurrent", Default: "0", Unit: "requests", Doc: "requests in progress at once; 0 is no limit", check: intBetween(0, 1_000_000_000)},
	},
	KindWeight: {
		{Name: "weight", Default: "1", Doc: "share of a busy service, against other teams", check: intBetween(1, 10_000)},
	},
	KindGroup: {
		{Name: "pool", Doc: "pool whose upstreams are the group's ranks", check: nonEmpty},
		{Name: "ranks", Unit: "ranks", Doc: "ranks of the group", check: intBetween(1, 1024)},
		{Name: "experts", Unit: "experts", Doc: "experts of one layer", check: intBetween(1, 4096)},
		{Name: "layers", Unit: "layers", Doc: "layers with experts", check: intBetween(1, 512)},
		{Name: "spare_slots", Default: "1", Unit: "experts", Doc: "extra experts a rank holds per layer", check: intBetween(0, 64)},
		{Name: "planner", Default: "incremental", Doc: "placement plug-in", check: nonEmpty},
		{Name: "skew_weight", Default: "1", Doc: "weight of time lost to the busiest rank", check: floatBetween(0, 1e6)},
		{Name: "move_weight", Default: "1", Doc: "weight of moving an expert", check: floatBetween(0, 1e6)},
		{Name: "expert_bytes", Default: "25000000", Unit: "bytes", Doc: "weights of one expert in one layer", check: floatBetween(1, 1e13)},
		{Name: "store_bytes_per_second", Default: "1000000000", Unit: "bytes/s", Doc: "rate of the weight store", check: floatBetween(1, 1e13)},
		{Name: "step_us", Default: "5000", Unit: "us", Doc: "time of a step when all ranks are even", check: intBetween(1, 60_000_000)},
		{Name: "paused", Default: "no", Doc: "yes stops rebalancing", check: oneOf("yes", "no")},
	},
	KindEvacuation: {
		{Name: "evacuated", Default: "yes", Doc: "yes sends no new requests to the upstreams of the failure domain", check: oneOf("yes", "no")},
	},
}

// Kinds returns the kinds of rows, sorted.
func Kinds() []string {
	kinds := make([]string, 0, len(Schema))
	for k := range Schema {
		kinds = append(kinds, k)
	}
	sort.Strings(kinds)
	return kinds
}

// ColumnError names an invalid cell and what is wrong with it.
type ColumnError struct {
	Kind, Key, Column, Detail string
}

func (e *ColumnError) Error() string {
	return e.Kind + " " + strconv.Quote(e.Key) + ": column " + e.Column + ": " + e.Detail
}

// Unwrap returns ErrInvalidColumn.
func (e *ColumnError) Unwrap() error { return ErrInvalidColumn }

// CheckRow checks the key and the cells of a row, but not whether the rows that it refers to exist.
func CheckRow(kind, key string, columns map[string]string) error {
	cols, ok := Schema[kind]
	if !ok {
		return merry.Prependf(ErrUnknownKind, "%q", kind)
	}
	if err := checkKey(kind, key); err != nil {
		return err
	}
	known := make(map[string]bool, len(cols))
	for _, c := range cols {
		known[c.Name] = true
		cell := columns[c.Name]
		if cell == "" {
			cell = c.Default
		}
		if msg := c.check(cell); msg != "" {
			return &ColumnError{Kind: kind, Key: key, Column: c.Name, Detail: msg}
		}
	}
	for name := range columns {
		if !known[name] {
			return &ColumnError{Kind: kind, Key: key, Column: name, Detail: "no such column"}
		}
	}
	c := cells{&wire.Row{Kind: kind, Columns: columns}}
	switch kind {
	case KindService:
		return checkClaimTTL(key, c)
	case KindGroup:
		return checkSpareSlots(key, c)
	}
	return nil
}

// checkSpareSlots checks that a rank has no more slots than there are experts: a rank holds an expert
// only once per layer, so no placement could fill the slots.
func checkSpareSlots(key string, c cells) error {
	ranks, experts := c.int("ranks"), c.int("experts")
	if (experts+ranks-1)/ranks+c.int("spare_slots") <= experts {
		return nil
	}
	return &ColumnError{
		Kind: KindGroup, Key: key, Column: "spare_slots",
		Detail: "a rank would have more slots than there are experts",
	}
}

// checkClaimTTL checks that idempotency keys are remembered for at least twice as long as a request may
// run. Otherwise a request that is sent again could run beside the first one.
func checkClaimTTL(key string, c cells) error {
	if c.yes("idempotent") || c.millis("claim_ttl_ms") >= 2*c.millis("timeout_ms") {
		return nil
	}
	return &ColumnError{
		Kind: KindService, Key: key, Column: "claim_ttl_ms",
		Detail: "must be at least twice timeout_ms while idempotent is no",
	}
}

func checkKey(kind, key string) error {
	if key == "" || len(key) > 128 || strings.ContainsAny(key, "\t\r\n\" ") {
		return merry.Prependf(ErrInvalidKey, "%s %q: 1 to 128 characters without blanks", kind, key)
	}
	// HTTP libraries remove parts that are dots from a path, so a request for such a row would go to
	// another path.
	for part := range strings.SplitSeq(key, "/") {
		if part == "" || part == "." || part == ".." {
			return merry.Prependf(ErrInvalidKey, "%s %q: its parts must not be empty or dots", kind, key)
		}
	}
	pair := kind == KindLimit || kind == KindWeight
	if pair && strings.Count(key, "/") != 1 {
		return merry.Prependf(ErrInvalidKey, "%s %q: must be TEAM/SERVICE, or TEAM/* for all services", kind, key)
	}
	if !pair && strings.Contains(key, "/") {
		return merry.Prependf(ErrInvalidKey, "%s %q: must not hold a slash", kind, key)
	}
	return nil
}
