// Package route selects an upstream for each attempt of a request. Balancers are
// plug-ins in the namespace "route"; the pool's table row names the one to use.
package route

import (
	"maps"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

// ErrNotBalancer is returned by New if the named plug-in is not a Balancer.
var ErrNotBalancer = merry.Sentinel("plug-in is not a balancer")

// Upstream is a candidate as the directory describes it. Load may be nil.
type Upstream struct {
	ID            string
	Incarnation   uint64
	Address       string
	FailureDomain string
	Load          *wire.Load
}

// Request holds the properties of a request that a balancer takes into account.
type Request struct {
	Priority wire.Priority
	// Tokens is the estimated number of prompt and output tokens; 0 for services
	// that don't process tokens.
	Tokens int
	// Prefix holds the chained hashes of the prompt's blocks, as PrefixHashes
	// returns them.
	Prefix []uint64
	// Exclude holds the IDs of the upstreams of earlier attempts.
	Exclude map[string]bool
	// MayProbe is true if another attempt can follow one at an upstream that doesn't
	// respond.
	MayProbe bool
}

// Excluding returns the request with more upstreams excluded; r itself if there are none.
func (r *Request) Excluding(ids map[string]bool) *Request {
	if len(ids) == 0 {
		return r
	}
	next := *r
	next.Exclude = maps.Clone(ids)
	maps.Copy(next.Exclude, r.Exclude)
	return &next
}

// Result describes how an attempt ended.
type Result struct {
	Outcome wire.Outcome
	Reason  wire.Reason
	// Load is the load that came with the end of the response; nil if none did.
	Load *wire.Load
	// Elapsed is the duration of the attempt.
	Elapsed time.Duration
	// CallerGone is true if the caller disconnected before the attempt ended. Such a
	// result says nothing about the upstream.
	CallerGone bool
	// SilentFor is for how long the upstream had sent nothing when the attempt was given
	// up, if this attempt alone is to eject it; 0 if not.
	SilentFor time.Duration
}

// Choice is the upstream selected for an attempt.
type Choice struct {
	Upstream
	// NoWait is true if another upstream may have a free slot: the agent should then
	// refuse the attempt at once if it has none, instead of queueing it.
	NoWait bool
}

// Balancer selects among the upstreams of one pool on behalf of one entry. It starts
// no goroutines and reads no clock. It is not safe for concurrent use.
type Balancer interface {
	// SetUpstreams replaces the candidates with the upstreams that are up.
	SetUpstreams(now time.Time, ups []Upstream)
	// ApplyLoadReport applies a load report. Reports of another incarnation are ignored.
	ApplyLoadReport(now time.Time, id string, incarnation uint64, l *wire.Load)
	// ApplyCacheEvents applies cache events. Events of another incarnation are ignored.
	ApplyCacheEvents(now time.Time, id string, incarnation uint64, events []*wire.CacheEvent)
	// Pick selects an upstream, or returns false if there is none. The attempt counts
	// as in flight until Done.
	Pick(now time.Time, r *Request) (Choice, bool)
	// Done ends an attempt that Pick has started.
	Done(now time.Time, up Upstream, r *Request, res Result)
}

// EntryInfo describes the entry that a balancer works for.
type EntryInfo struct {
	// ID is the entry's ID.
	ID            string
	FailureDomain string
	// Seed seeds the balancer's random choices; it differs between entries.
	Seed uint64
}

// EntryInfoSetter is implemented by balancers that depend on the entry they work for.
type EntryInfoSetter interface{ SetEntryInfo(EntryInfo) }

// New creates the balancer of the given name for an entry.
func New(name string, info EntryInfo) (Balancer, error) {
	v, err := kernel.Load("route."+name, nil)
	if err != nil {
		return nil, err
	}
	b, ok := v.(Balancer)
	if !ok {
		return nil, merry.Prependf(ErrNotBalancer, "%q", name)
	}
	if p, ok := v.(EntryInfoSetter); ok {
		p.SetEntryInfo(info)
	}
	return b, nil
}

// ResponseStartObserver is implemented by balancers that also use response heads. The head of a
// streamed response shows that the upstream is alive, and its load, seconds before
// Done does.
type ResponseStartObserver interface {
	// ResponseStarted reports that the response head arrived, with its load, the given time
	// after the request was sent.
	ResponseStarted(now time.Time, up Upstream, l *wire.Load, after time.Duration)
}
