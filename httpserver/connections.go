package httpserver

import (
	"sync"
	"time"
)

// minStall is how long a connection has received nothing of a request before it may be closed for a new
// one. It is longer than a packet takes that has to be sent again once.
const minStall = 500 * time.Millisecond

// activity is what a connection does.
type activity int32

const (
	// idle connections have sent nothing since they were opened or since their last answer.
	idle activity = iota
	// reading connections have sent a part of a request.
	reading
	// serving connections wait for the answer to a whole request.
	serving
	// closing connections are closed in favour of others. They begin no request.
	closing
)

// connections bounds the open connections of a listener.
type connections struct {
	max int

	mu   sync.Mutex
	open map[*conn]bool
}

func newConnections(maximum int) *connections {
	return &connections{max: maximum, open: map[*conn]bool{}}
}

func (cs *connections) count() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.open)
}

// add adds a connection. If there are too many, it returns the one that is to be closed in its place; ok is
// false if there is none, and the new one is to be closed.
func (cs *connections) add(c *conn, now int64) (closed *conn, ok bool) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if len(cs.open) >= cs.max {
		if closed = claimLeastActive(cs.open, now); closed == nil {
			return nil, false
		}
		delete(cs.open, closed)
	}
	cs.open[c] = true
	return closed, true
}

func (cs *connections) remove(c *conn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	delete(cs.open, c)
}

// claimLeastActive returns the connection that is to be closed, after it has made sure that it begins no
// request: one that ran at an upstream would lose its answer.
func claimLeastActive(open map[*conn]bool, now int64) *conn {
	for {
		found, doing := leastActive(open, now)
		if found == nil || found.activity.CompareAndSwap(int32(doing), int32(closing)) {
			return found
		}
	}
}

// leastActive returns the connection that has been idle for the longest. If none is idle, it is the one that
// has stopped in the middle of a request for the longest; nil if all requests are served or arrive.
func leastActive(open map[*conn]bool, now int64) (found *conn, does activity) {
	does = serving
	since := int64(0)
	for c := range open {
		doing, heardAt := activity(c.activity.Load()), c.heardAt.Load()
		if doing >= serving || doing == reading && now-heardAt < int64(minStall) {
			continue
		}
		if doing < does || doing == does && heardAt < since {
			found, does, since = c, doing, heardAt
		}
	}
	return found, does
}
