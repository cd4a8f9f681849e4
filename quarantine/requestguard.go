package quarantine

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

// Identifier provides the identity of a request. It is called only while the node remembers any
// request.
type Identifier interface {
	// Identity returns the parts of the request that identify it when it is sent again.
	Identity() *Request
}

// RequestGuard checks one caller's request against a Node and records its runs. The zero value
// suspects no request. Its methods are safe for concurrent use, except Begin and Done.
type RequestGuard struct {
	node      *Node
	requester Identifier
	// key identifies the request by its content; nil until it is needed.
	key        atomic.Pointer[Key]
	registered bool
}

// Init sets the node and the request to check.
func (t *RequestGuard) Init(n *Node, of Identifier) { t.node, t.requester = n, of }

// suspectedKey returns the key of a request that may be suspected. It hashes the body
// only if the hint of the request is known.
func (t *RequestGuard) suspectedKey() (Key, bool) {
	if t.node == nil || t.node.recordCount.Load() == 0 {
		return Key{}, false
	}
	if k := t.key.Load(); k != nil {
		return *k, true
	}
	r := t.requester.Identity()
	t.node.mu.Lock()
	known := t.node.table.MayContain(r.Hint())
	t.node.mu.Unlock()
	if !known {
		return Key{}, false
	}
	k := r.Key()
	t.key.Store(&k)
	return k, true
}

// Verdict returns the current verdict on the request.
func (t *RequestGuard) Verdict() Verdict {
	k, ok := t.suspectedKey()
	if !ok {
		return Verdict{}
	}
	t.node.mu.Lock()
	defer t.node.mu.Unlock()
	return t.node.table.Verdict(t.node.now(), k)
}

// Begin registers that the request is about to be sent. It returns false if the request is in
// quarantine, or on its last trial while a copy of it runs from this process. Done must follow.
func (t *RequestGuard) Begin() bool {
	k, ok := t.suspectedKey()
	if !ok {
		return true
	}
	t.node.mu.Lock()
	defer t.node.mu.Unlock()
	t.registered = t.node.table.Begin(t.node.now(), k)
	return t.registered
}

// Done unregisters the run that Begin registered, if any.
func (t *RequestGuard) Done() {
	if !t.registered {
		return
	}
	t.registered = false
	t.node.mu.Lock()
	defer t.node.mu.Unlock()
	t.node.table.Done(*t.key.Load())
}

// RecordAnswer records that an upstream answered the request completely, which clears it, and
// reports whether the request was suspected.
func (t *RequestGuard) RecordAnswer(requestID string) (cleared bool) {
	k, ok := t.suspectedKey()
	if !ok {
		return false
	}
	t.node.updateTable(func(now time.Time, table *Table) bool {
		cleared = table.Verdict(now, k).Status != Unsuspected && table.RecordAnswer(now, k)
		return cleared
	})
	if cleared {
		t.node.lines.Info("Suspected request was answered and cleared.", "request", requestID, "key", k)
	}
	return cleared
}

// Explain describes the inputs of a verdict for logs and callers. It is empty if the request's key was
// never needed.
func (t *RequestGuard) Explain(v Verdict) string {
	k := t.key.Load()
	if k == nil {
		return ""
	}
	return fmt.Sprintf("key %s: %d upstreams crashed while running it (%s), the last %d ms ago", k, v.Crashes, strings.Join(v.Upstreams, " "), v.Age.Milliseconds())
}
