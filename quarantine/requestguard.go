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
	// parts are the parts of the request's prompt that other requests may have as well.
	parts []PromptPart
	// suspects caches by what the request may be suspected, and ownKey its own key; nil until needed.
	suspects atomic.Pointer[[]suspect]
	ownKey   atomic.Pointer[Key]
	// registered are the keys that Begin has registered.
	registered []Key
}

// suspect is what a request may be suspected by: the request itself or a part of its prompt.
type suspect struct {
	hint Hint
	// key of the request itself isn't set until its hint is known, since it needs a hash of the body.
	key Key
	// part is the ID of the part; empty for the request itself.
	part string
}

// Init sets the node and the request to check.
func (t *RequestGuard) Init(n *Node, of Identifier) { t.node, t.requester = n, of }

// RecordArrival records a request with a prompt that has arrived, and the parts of the prompt that other
// requests may have as well. It must be called before the other methods.
func (t *RequestGuard) RecordArrival(parts []PromptPart) {
	t.parts = parts
	if t.node != nil && len(parts) > 0 {
		t.node.parts.recordArrival(parts)
	}
}

// known returns by what of the request the node remembers crashes. It hashes the body only if the hint of the
// request is known.
func (t *RequestGuard) known() (list []suspect) {
	if t.node == nil || t.node.recordCount.Load() == 0 {
		return nil
	}
	list = t.remembered(t.identify())
	for i := range list {
		if list[i].part == "" {
			list[i].key = t.requestKey()
		}
	}
	return list
}

// identify returns by what the request may be suspected.
func (t *RequestGuard) identify() []suspect {
	if all := t.suspects.Load(); all != nil {
		return *all
	}
	all := []suspect{{hint: t.requester.Identity().Hint()}}
	for _, p := range t.parts {
		info := p.Info("", "")
		all = append(all, suspect{hint: info.Hint, key: info.Key, part: p.ID})
	}
	t.suspects.Store(&all)
	return all
}

// remembered returns those whose hint the node knows.
func (t *RequestGuard) remembered(all []suspect) (list []suspect) {
	t.node.mu.Lock()
	defer t.node.mu.Unlock()
	for _, s := range all {
		if t.node.table.MayContain(s.hint) {
			list = append(list, s)
		}
	}
	return list
}

func (t *RequestGuard) requestKey() Key {
	if k := t.ownKey.Load(); k != nil {
		return *k
	}
	k := t.requester.Identity().Key()
	t.ownKey.Store(&k)
	return k
}

// Verdict returns the current verdict on the request: the worst of those on it and on the parts of its prompt.
func (t *RequestGuard) Verdict() Verdict {
	known := t.known()
	if len(known) == 0 {
		return Verdict{}
	}
	t.node.mu.Lock()
	defer t.node.mu.Unlock()
	now := t.node.now()
	var worst Verdict
	for _, s := range known {
		if v := t.node.table.Verdict(now, s.key); v.Status > worst.Status {
			worst = v
			worst.Key, worst.Part = s.key, s.part
		}
	}
	return worst
}

// Begin registers that the request is about to be sent. It returns false if the request or a part of its
// prompt is in quarantine, or on its last trial while another request with it runs from this process. Done
// must follow.
func (t *RequestGuard) Begin() bool {
	known := t.known()
	if len(known) == 0 {
		return true
	}
	t.node.mu.Lock()
	defer t.node.mu.Unlock()
	now := t.node.now()
	for _, s := range known {
		if !t.node.table.Begin(now, s.key) {
			t.unregister()
			return false
		}
		t.registered = append(t.registered, s.key)
	}
	return true
}

// Done unregisters the run that Begin registered, if any.
func (t *RequestGuard) Done() {
	if len(t.registered) == 0 {
		return
	}
	t.node.mu.Lock()
	defer t.node.mu.Unlock()
	t.unregister()
}

// unregister drops what Begin has registered. The node's lock must be held.
func (t *RequestGuard) unregister() {
	for _, k := range t.registered {
		t.node.table.Done(k)
	}
	t.registered = nil
}

// RecordAnswer records that an upstream answered the request completely, which clears it and the parts of its
// prompt, and reports whether any of them was suspected.
func (t *RequestGuard) RecordAnswer(requestID string) (cleared bool) {
	if t.node == nil {
		return false
	}
	if len(t.parts) > 0 {
		t.node.parts.recordAnswer(t.node.now(), t.parts)
	}
	known := t.known()
	if len(known) == 0 {
		return false
	}
	var list []string
	t.node.updateTable(func(now time.Time, table *Table) bool {
		for _, s := range known {
			if table.Verdict(now, s.key).Status != Unsuspected && table.RecordAnswer(now, s.key) {
				list = append(list, s.key.String())
			}
		}
		return len(list) > 0
	})
	if len(list) > 0 {
		t.node.lines.Info("Suspected request was answered and cleared.", "request", requestID, "key", strings.Join(list, ","))
	}
	return len(list) > 0
}

// Explain describes the inputs of a verdict for logs and callers. It is empty if nothing is suspected.
func (t *RequestGuard) Explain(v Verdict) string {
	if v.Status == Unsuspected {
		return ""
	}
	what := "it"
	if v.Part != "" {
		what = "requests with part " + v.Part + " in their prompt"
	}
	return fmt.Sprintf("key %s: %d upstreams crashed while running %s (%s), the last %d ms ago", v.Key, v.Crashes, what, strings.Join(v.Upstreams, " "), v.Age.Milliseconds())
}
