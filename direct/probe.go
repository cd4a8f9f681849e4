package direct

import (
	"bufio"
	"context"
	"errors"
	"syscall"
	"time"
)

// Refuses says whether nothing listens at an address any more: its host answers, and no process
// takes connections there. A host that is silent or cut off, and an upstream that takes the
// connection, don't refuse; the connection is kept for a later call.
func (c *Client) Refuses(ctx context.Context, addr string) bool {
	nc, err := c.dial(ctx, "tcp", addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	c.mu.Lock()
	c.opened++
	c.mu.Unlock()
	c.put(addr, &conn{Conn: nc, br: bufio.NewReaderSize(nc, readBuffer), idleUntil: time.Now().Add(idleLimit)})
	return false
}
