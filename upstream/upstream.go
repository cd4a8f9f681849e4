// Package upstream speaks to the server that an agent stands beside. The kinds
// are plug-ins in the namespace "upstream": "engine" and "plain".
package upstream

import (
	"context"
	"io"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

// Errors of this layer.
var (
	// ErrNotSent says that no byte of the request reached the upstream.
	ErrNotSent = merry.Sentinel("upstream was not reached")
	// ErrFailed says that the upstream may have seen the request.
	ErrFailed = merry.Sentinel("upstream failed")
	// ErrCrossed says that the answer names another request.
	ErrCrossed = merry.Sentinel("answer belongs to another request")
	// ErrUnsupported is returned by kinds that don't take orders.
	ErrUnsupported = merry.Sentinel("upstream doesn't support this")
	// ErrNotUpstream is returned for a plug-in of another kind.
	ErrNotUpstream = merry.Sentinel("plug-in doesn't speak to an upstream")
)

// Answer is an upstream's answer. Body must be closed.
type Answer struct {
	Status    int
	Headers   []*wire.Header
	Streaming bool
	Body      io.ReadCloser
}

// Upstream is one server. It is safe for use by several goroutines.
type Upstream interface {
	// Kind is the plug-in's name.
	Kind() string
	// Do runs a request. An error that is not ErrNotSent means that it may
	// have been run.
	Do(ctx context.Context, head *wire.RunHead, body []byte) (*Answer, error)
	// Load asks for a load report.
	Load(ctx context.Context) (*wire.Load, error)
	// Cache returns the cache events after a sequence number.
	Cache(ctx context.Context, after uint64) ([]*wire.CacheEvent, error)
	// Counters returns the expert counters since the last call.
	Counters(ctx context.Context) (*wire.ExpertCounters, error)
	// Give passes an order on.
	Give(ctx context.Context, o *wire.Order) (*wire.OrderReply, error)
	// Close drops idle connections.
	Close()
}

// Refuser is an Upstream that can be asked whether it is there.
type Refuser interface {
	// Refuses says whether nothing listens at the upstream's address any more. A host that is
	// silent doesn't refuse.
	Refuses(ctx context.Context) bool
}

// New makes the upstream that an agent's settings name.
func New(kind string, settings map[string]any) (Upstream, error) {
	v, err := kernel.Load("upstream."+kind, settings)
	if err != nil {
		return nil, err
	}
	u, ok := v.(Upstream)
	if !ok {
		return nil, merry.Prependf(ErrNotUpstream, "%q", kind)
	}
	return u, nil
}
