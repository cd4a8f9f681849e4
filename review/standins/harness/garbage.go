//go:build review

package harness

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Garbage is a server with a fault: it sends bytes that are not a response.
type Garbage struct {
	*Plain
	// link is held while a chunk is on its way.
	link sync.Mutex
}

const (
	// garbagePerS bounds what the server sends in a second over all connections, in bytes: somewhat less than the
	// 1,000 Mbit/s of a link.
	garbagePerS  = 100 << 20
	garbageChunk = 256 << 10
)

// NewGarbage starts a server that is sound until its fault begins.
func NewGarbage(r *Record, instance, service string, zone, slots int, work time.Duration) (*Garbage, error) {
	p, err := NewPlain(r, instance, service, zone, slots, work)
	return &Garbage{Plain: p}, err
}

// Begin begins the fault: the server answers each request with bytes that are not a response, until the caller
// closes the connection.
func (g *Garbage) Begin() {
	g.record.Add("%s begins to send bytes that are not a response", g.Instance)
	g.server.Handler.(*switchable).set(http.HandlerFunc(g.send))
}

func (g *Garbage) send(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Snipereach-Attempt-Id")
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	n, err := g.fill(conn)
	g.record.Add("%s sent %d MB that are not a response to %s until %v", g.Instance, n>>20, id, err)
}

// fill writes until the connection ends, with all others together at garbagePerS.
func (g *Garbage) fill(conn net.Conn) (n int64, err error) {
	chunk := bytes.Repeat([]byte("x"), garbageChunk)
	began := time.Now()
	for {
		g.link.Lock()
		time.Sleep(time.Duration(garbageChunk * int64(time.Second) / garbagePerS))
		g.link.Unlock()
		k, err := conn.Write(chunk)
		n += int64(k)
		if err != nil {
			return n, err
		}
		if time.Since(began) > time.Minute {
			return n, fmt.Errorf("sent for a minute")
		}
	}
}
