package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"storj.io/drpc"

	"github.com/snipereach/snipereach/backpressure"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

// replicaTimeout bounds an edit or read at one replica before the next one is tried. It is
// longer than forwardTimeout, so that a replica can still report that the leader doesn't
// answer.
const replicaTimeout = 3 * time.Second

// Client calls control replicas and prefers the one that answered last.
type Client struct {
	pool  *transport.Pool
	addrs []string
	// last is the index in addrs of the replica that is tried first.
	last atomic.Uint32
}

// NewClient returns a client of the replicas at these drpc addresses. The hash of the client's
// name selects the replica that is called first, so that clients spread over the replicas.
func NewClient(pool *transport.Pool, addrs []string, name string) *Client {
	c := &Client{pool: pool, addrs: addrs}
	if len(addrs) > 0 {
		c.last.Store(uint32(xxhash.Sum64String(name) % uint64(len(addrs))))
	}
	return c
}

// Call calls f for the replicas in turn, beginning with the one that answered last, until f
// returns nil. It returns ErrUnavailable with the last error if none does or ctx ends.
func (c *Client) Call(ctx context.Context, f func(context.Context, wire.DRPCControlClient) error) error {
	return c.callAny(ctx, func(ctx context.Context, conn drpc.Conn) error { return f(ctx, wire.NewDRPCControlClient(conn)) })
}

// CallQuarantine is Call for the Quarantine service.
func (c *Client) CallQuarantine(ctx context.Context, f func(context.Context, wire.DRPCQuarantineClient) error) error {
	return c.callAny(ctx, func(ctx context.Context, conn drpc.Conn) error { return f(ctx, wire.NewDRPCQuarantineClient(conn)) })
}

// ListBackpressure returns what upstreams ask of gateways, as far as any replica that answers within the
// timeout knows. It returns ErrUnavailable if none answers.
func (c *Client) ListBackpressure(ctx context.Context, timeout time.Duration) ([]backpressure.View, error) {
	var statements []*wire.UpstreamStatement
	var rests []*wire.UpstreamRest
	err := merry.Prepend(ErrUnavailable, "no control replica is known")
	answered := false
	for _, addr := range c.addrs {
		one, cancel := context.WithTimeout(ctx, timeout)
		reply, callErr := wire.NewDRPCBackpressureClient(c.pool.Conn(one, addr)).List(one, &wire.ListStatementsRequest{})
		cancel()
		if callErr != nil {
			err = merry.Prependf(ErrUnavailable, "%s: %v", addr, callErr)
			continue
		}
		answered = true
		statements, rests = append(statements, reply.Statements...), append(rests, reply.Rests...)
	}
	if !answered {
		return nil, err
	}
	return backpressure.Views(statements, rests), nil
}

func (c *Client) callAny(ctx context.Context, f func(context.Context, drpc.Conn) error) error {
	err := merry.Prepend(ErrUnavailable, "no control replica is known")
	first := int(c.last.Load())
	for i := range c.addrs {
		n := (first + i) % len(c.addrs)
		if ctx.Err() != nil {
			return merry.Prepend(ErrUnavailable, ctx.Err().Error())
		}
		callErr := f(ctx, c.pool.Conn(ctx, c.addrs[n]))
		if callErr == nil {
			c.last.Store(uint32(n))
			return nil
		}
		// A call to a partitioned replica may last until the caller's deadline. The next call
		// must not begin with the same replica, or no other would ever be tried.
		c.last.CompareAndSwap(uint32(n), uint32((n+1)%len(c.addrs)))
		err = merry.Prependf(ErrUnavailable, "%s: %v", c.addrs[n], callErr)
	}
	return err
}

// retryInterval is the delay between two rounds of calls to all replicas.
const retryInterval = 100 * time.Millisecond

// ForEachReplica calls f for the replicas in turn, each with its own timeout, until f returns
// true or ctx ends.
func (c *Client) ForEachReplica(ctx context.Context, timeout time.Duration, f func(context.Context, wire.DRPCControlClient) bool) {
	for _, addr := range c.addrs {
		one, cancel := context.WithTimeout(ctx, timeout)
		done := f(one, wire.NewDRPCControlClient(c.pool.Conn(one, addr)))
		cancel()
		if done || ctx.Err() != nil {
			return
		}
	}
}

// callUntil repeats Call until it returns nil or ctx ends, because a failover may take longer
// than one round of calls.
func (c *Client) callUntil(ctx context.Context, f func(context.Context, wire.DRPCControlClient) error) error {
	for {
		err := c.Call(ctx, f)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(retryInterval):
		}
	}
}

// Edit sends an edit until a leader has decided it or ctx ends. The edit may be sent several
// times; its ID is the idempotency key.
func (c *Client) Edit(ctx context.Context, e *wire.TableEdit) (*wire.EditReply, error) {
	var reply *wire.EditReply
	err := c.callUntil(ctx, func(ctx context.Context, cc wire.DRPCControlClient) error {
		ctx, cancel := context.WithTimeout(ctx, replicaTimeout)
		defer cancel()
		r, err := cc.Edit(ctx, e)
		if err != nil {
			return err
		}
		if r.Status == wire.EditStatus_EDIT_STATUS_UNAVAILABLE {
			return merry.Prepend(ErrUnavailable, r.Detail)
		}
		reply = r
		return nil
	})
	return reply, err
}

// Read reads rows and retries until ctx ends; see wire.ReadRequest.
func (c *Client) Read(ctx context.Context, req *wire.ReadRequest) (*wire.ReadReply, error) {
	var reply *wire.ReadReply
	err := c.callUntil(ctx, func(ctx context.Context, cc wire.DRPCControlClient) error {
		ctx, cancel := context.WithTimeout(ctx, replicaTimeout)
		defer cancel()
		r, err := cc.Read(ctx, req)
		reply = r
		return err
	})
	return reply, err
}
