// Package route chooses an upstream for an attempt. The choice is a plug-in in
// the namespace "route"; the pool's row names it.
package route

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

// ErrNotBalancer is returned for a plug-in of another kind.
var ErrNotBalancer = merry.Sentinel("plug-in doesn't route")

// Upstream is what a balancer knows of a candidate from the directory.
type Upstream struct {
	ID            string
	Incarnation   uint64
	Address       string
	FailureDomain string
	Load          *wire.Load
}

// Request is what a choice depends on.
type Request struct {
	Priority wire.Priority
	// Tokens is the estimated work: prompt and output; 0 for plain services.
	Tokens int
	// Prefix holds the chained hashes of the prompt's blocks, shortest prefix first.
	Prefix []uint64
	// Exclude names upstreams that earlier attempts of the request used.
	Exclude map[string]bool
}

// Result is how an attempt ended.
type Result struct {
	Outcome wire.Outcome
	Reason  wire.Reason
	Load    *wire.Load
	// Elapsed is the time from Pick to the end.
	Elapsed time.Duration
	// CallerGone says that the caller left first: the end tells nothing of the
	// upstream.
	CallerGone bool
}

// Choice is the upstream for an attempt.
type Choice struct {
	Upstream
	// NoWait says that another upstream may have a free slot if this one has none:
	// its agent is to refuse the attempt at once rather than queue it.
	NoWait bool
}

// Balancer chooses among the upstreams of one pool, at one entry. It is pure:
// no goroutine, no clock. It is not safe for use by several goroutines.
type Balancer interface {
	// Update replaces the candidates: those that are up.
	Update(now time.Time, ups []Upstream)
	// Report takes a load report of one incarnation.
	Report(now time.Time, id string, incarnation uint64, l *wire.Load)
	// Cache takes cache events of one incarnation.
	Cache(now time.Time, id string, incarnation uint64, events []*wire.CacheEvent)
	// Pick chooses; the attempt counts as in flight until Done.
	Pick(now time.Time, r *Request) (Choice, bool)
	// Done ends an attempt that Pick chose.
	Done(now time.Time, up Upstream, r *Request, res Result)
}

// Place says where an entry stands, for plug-ins that prefer what is near.
type Place struct {
	Entry         string
	FailureDomain string
	// Seed makes the entry's random choices its own.
	Seed uint64
}

// Placed is a balancer that wants to know its place.
type Placed interface{ SetPlace(Place) }

// New makes the balancer that a pool row names.
func New(name string, place Place) (Balancer, error) {
	v, err := kernel.Load("route."+name, nil)
	if err != nil {
		return nil, err
	}
	b, ok := v.(Balancer)
	if !ok {
		return nil, merry.Prependf(ErrNotBalancer, "%q", name)
	}
	if p, ok := v.(Placed); ok {
		p.SetPlace(place)
	}
	return b, nil
}

// Answered is a balancer that hears of the head of an answer before its end: of a
// stream that is a sign of life, and a load, seconds earlier.
type Answered interface {
	Answered(now time.Time, up Upstream, l *wire.Load, after time.Duration)
}
