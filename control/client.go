package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"storj.io/drpc"

	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

// replicaTimeout is how long one replica may take with an edit or a read before
// the next is asked. One that is cut off says nothing at all. It is longer than
// forwardTimeout, so that a replica which asks a silent leader can still say so.
const replicaTimeout = 3 * time.Second

// Client calls whichever control replica answers.
type Client struct {
	pool  *transport.Pool
	addrs []string
	// last is the replica that answered last.
	last atomic.Uint32
}

// NewClient makes a client of the replicas at these drpc addresses. The name
// decides which one is asked first, so that clients spread over them.
func NewClient(pool *transport.Pool, addrs []string, name string) *Client {
	c := &Client{pool: pool, addrs: addrs}
	if len(addrs) > 0 {
		c.last.Store(uint32(xxhash.Sum64String(name) % uint64(len(addrs))))
	}
	return c
}

// Call tries the replicas in turn, from the one that answered last, until one
// call returns no error.
func (c *Client) Call(ctx context.Context, f func(context.Context, wire.DRPCControlClient) error) error {
	return c.callAny(ctx, func(ctx context.Context, conn drpc.Conn) error { return f(ctx, wire.NewDRPCControlClient(conn)) })
}

// CallQuarantine is Call for the Quarantine service.
func (c *Client) CallQuarantine(ctx context.Context, f func(context.Context, wire.DRPCQuarantineClient) error) error {
	return c.callAny(ctx, func(ctx context.Context, conn drpc.Conn) error { return f(ctx, wire.NewDRPCQuarantineClient(conn)) })
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
		// A replica behind a silent cut eats the caller's whole time. The next
		// call must not begin with it again, or the client never gets past it.
		c.last.CompareAndSwap(uint32(n), uint32((n+1)%len(c.addrs)))
		err = merry.Prependf(ErrUnavailable, "%s: %v", c.addrs[n], callErr)
	}
	return err
}

// retryInterval is the time between two rounds over the replicas.
const retryInterval = 100 * time.Millisecond

// Each calls every replica, each within a time, until f returns true.
func (c *Client) Each(ctx context.Context, timeout time.Duration, f func(context.Context, wire.DRPCControlClient) bool) {
	for _, addr := range c.addrs {
		one, cancel := context.WithTimeout(ctx, timeout)
		done := f(one, wire.NewDRPCControlClient(c.pool.Conn(one, addr)))
		cancel()
		if done || ctx.Err() != nil {
			return
		}
	}
}

// callUntil goes on calling until one call returns no error or the context ends:
// a fail-over takes longer than one round over the replicas.
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

// Edit sends an edit until a leader has decided it, or the context ends. It may
// be sent more than once: the edit ID makes that safe.
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

// Read returns rows, or an error when the context ends; see wire.ReadRequest.
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
