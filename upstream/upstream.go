// Package upstream implements the clients through which an agent calls the server that
// runs beside it. The kinds are plug-ins in the namespace "upstream": "engine" and
// "plain".
package upstream

import (
	"context"
	"io"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

// Errors returned by upstreams.
var (
	// ErrNotSent is returned when no byte of the request reached the upstream.
	ErrNotSent = merry.Sentinel("upstream was not reached")
	// ErrFailed is returned when a call failed and the upstream may have received it.
	ErrFailed = merry.Sentinel("upstream failed")
	// ErrRequestIDMismatch is returned when the response has the ID of another request.
	ErrRequestIDMismatch = merry.Sentinel("response has the ID of another request")
	// ErrUnsupported is returned when the upstream doesn't offer the operation.
	ErrUnsupported = merry.Sentinel("operation not supported by the upstream")
	// ErrNotUpstream is returned for a plug-in that is not an Upstream.
	ErrNotUpstream = merry.Sentinel("plug-in is not an upstream")
)

// Answer is the response of an upstream. The caller must close Body.
type Answer struct {
	Status    int
	Headers   []*wire.Header
	Streaming bool
	Body      io.ReadCloser
	// Unframed says that the answer has neither a length nor chunks and ends with its connection.
	Unframed bool
}

// Upstream is the client of one server. It is safe for concurrent use.
type Upstream interface {
	// Kind returns the name of the plug-in.
	Kind() string
	// Do sends a request. Unless the error is ErrNotSent, the upstream may have run the
	// request.
	Do(ctx context.Context, head *wire.RunHead, body []byte) (*Answer, error)
	// Load returns the current load of the upstream.
	Load(ctx context.Context) (*wire.Load, error)
	// Cache returns the cache events that follow the sequence number after.
	Cache(ctx context.Context, after uint64) ([]*wire.CacheEvent, error)
	// Counters returns the expert counters since the last call.
	Counters(ctx context.Context) (*wire.ExpertCounters, error)
	// SendOrder sends an order to the upstream.
	SendOrder(ctx context.Context, o *wire.Order) (*wire.OrderReply, error)
	// Close closes idle connections.
	Close()
}

// RefusalChecker is an Upstream that can check whether its server refuses connections.
type RefusalChecker interface {
	// RefusesConnections reports whether connections to the address of the upstream are refused,
	// because nothing listens there. It returns false for a host that doesn't respond.
	RefusesConnections(ctx context.Context) bool
}

// New loads the plug-in of a kind with its settings.
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
