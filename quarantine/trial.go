package quarantine

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

// Requester tells what a request is. It is asked only where something is held against any.
type Requester interface {
	// Identity is what makes the request the same when it comes again.
	Identity() *Request
}

// Trial is one request of a caller at an entry. Its zero value is one of a node that knows nothing.
// Its methods may be called by several goroutines, but for Begin and Done.
type Trial struct {
	node *Node
	of   Requester
	// key names the request by its content, once that was asked for.
	key   atomic.Pointer[Key]
	begun bool
}

// Init makes it the trial of a request.
func (t *Trial) Init(n *Node, of Requester) { t.node, t.of = n, of }

// suspected says whether something may be held against the request, and names it then. The body
// is hashed only for a request like one that is remembered.
func (t *Trial) suspected() (Key, bool) {
	if t.node == nil || t.node.known.Load() == 0 {
		return Key{}, false
	}
	if k := t.key.Load(); k != nil {
		return *k, true
	}
	r := t.of.Identity()
	t.node.mu.Lock()
	known := t.node.table.MayKnow(r.Hint())
	t.node.mu.Unlock()
	if !known {
		return Key{}, false
	}
	k := r.Key()
	t.key.Store(&k)
	return k, true
}

// Verdict is what may be done with the request now.
func (t *Trial) Verdict() Verdict {
	k, ok := t.suspected()
	if !ok {
		return Verdict{}
	}
	t.node.mu.Lock()
	defer t.node.mu.Unlock()
	return t.node.table.Judge(t.node.now(), k)
}

// Begin notes that the request is about to be sent. It says no to one in quarantine, and to one
// on its last trial while a copy of it runs from here. Done must follow.
func (t *Trial) Begin() bool {
	k, ok := t.suspected()
	if !ok {
		return true
	}
	t.node.mu.Lock()
	defer t.node.mu.Unlock()
	t.begun = t.node.table.Begin(t.node.now(), k)
	return t.begun
}

// Done ends what Begin began.
func (t *Trial) Done() {
	if !t.begun {
		return
	}
	t.begun = false
	t.node.mu.Lock()
	defer t.node.mu.Unlock()
	t.node.table.Done(*t.key.Load())
}

// Answered takes that an upstream answered the request whole: it isn't one that ends each
// upstream that runs it. It says whether something was held against it.
func (t *Trial) Answered(requestID string) (cleared bool) {
	k, ok := t.suspected()
	if !ok {
		return false
	}
	t.node.change(func(now time.Time, table *Table) bool {
		cleared = table.Judge(now, k).Standing != Free && table.Answered(now, k)
		return cleared
	})
	if cleared {
		t.node.tell("Suspected request was answered.", "request", requestID, "key", k)
	}
	return cleared
}

// Why names the inputs of a verdict, for logs and callers.
func (t *Trial) Why(v Verdict) string {
	k := t.key.Load()
	if k == nil {
		return ""
	}
	return fmt.Sprintf("key %s: %d upstreams ended under it (%s), the last %d ms ago", k, v.Ends, strings.Join(v.Upstreams, " "), v.Age.Milliseconds())
}
