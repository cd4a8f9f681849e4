package direct

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// RefusesConnections reports whether connections to an address are refused: its host is reachable, but no
// process listens there. It returns false for an unreachable host, and for an upstream that
// accepts the connection, which is then kept for a later call.
func (c *Client) RefusesConnections(ctx context.Context, addr string) bool {
	cn, err := c.open(ctx, addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	cn.idleUntil = time.Now().Add(maxIdleTime)
	c.putIdle(addr, cn)
	return false
}
