package quarantine

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

// nodeLines bounds a node's lines, a second. All that ran at an upstream that ended have one: a
// dozen.
const nodeLines = 24

// Node is what an entry knows of requests that may end the upstreams that run them: what it has
// seen itself, and what the control replicas tell of other entries. It is safe for use by several
// goroutines; a nil one knows nothing.
//
// A request that ends each upstream takes with it all that runs there, and in a group all that
// runs at any rank; its caller sends it again, to any entry, where it is a new request. One such
// request kept a group from answering for minutes.
type Node struct {
	id    string
	log   log.Logger
	now   func() time.Time
	dial  directory.Dial
	lines *kernel.LineBudget
	// known is how many requests are remembered: with none, as nearly always, a request pays one
	// read of it.
	known atomic.Int64

	mu    sync.Mutex
	table *Table
	// tellers are those that tell the replicas what was seen here, by replica.
	tellers map[string]*teller
}

// NewNode makes the node of an entry.
func NewNode(id string, l log.Logger, now func() time.Time, dial directory.Dial) *Node {
	return &Node{
		id: id, log: l, now: now, dial: dial, lines: kernel.NewLineBudget(nodeLines, now),
		table: NewTable(DefaultSettings()), tellers: map[string]*teller{},
	}
}

// End is that an upstream ended while it ran a request.
type End struct {
	Subject
	// RequestID is the caller's, for logs.
	RequestID string
	// Upstream names the incarnation that ended, Address where it was.
	Upstream, Address string
	// Ran is how long the request had run there, Ago the time since it was cut off.
	Ran, Ago time.Duration
	// Sign is by what the end was told.
	Sign string
}

// Ended takes an end, and returns what is held against the request now.
func (n *Node) Ended(e End) (v Verdict) {
	n.change(func(now time.Time, t *Table) bool {
		ended := now.Add(-e.Ago)
		v = t.Ended(now, e.Subject, Run{Upstream: e.Upstream, Began: ended.Add(-e.Ran), Ended: ended})
		return true
	})
	n.tell("Upstream ended under a request.", "request", e.RequestID, "key", e.Key, "route", e.Route, "team", e.Team,
		"upstream", e.Upstream, "addr", e.Address, "sign", e.Sign, "ends", v.Ends, "standing", v.Standing)
	return v
}

// Hear takes what a replica tells.
func (n *Node) Hear(from string, list []*wire.Suspicion) {
	if len(list) == 0 {
		return
	}
	for _, c := range n.learn(from, list) {
		n.tell("Request's standing is heard.", "replica", from, "key", c.key, "route", c.told.Route, "team", c.told.Team,
			"standing", c.verdict.Standing, "ends", c.verdict.Ends, "upstreams", strings.Join(c.verdict.Upstreams, ","),
			"left_ms", c.verdict.Left.Milliseconds())
	}
}

// heard is a request whose standing has changed by what others told.
type heard struct {
	key     Key
	told    *wire.Suspicion
	verdict Verdict
}

func (n *Node) learn(from string, list []*wire.Suspicion) (changes []heard) {
	n.change(func(now time.Time, t *Table) bool {
		for _, m := range list {
			if err := Check(m); err != nil {
				n.tell("Suspicion can't be taken.", "replica", from, "err", err)
				continue
			}
			k := Key(m.Key)
			before := t.Judge(now, k).Standing
			t.Learn(now, m)
			if v := t.Judge(now, k); v.Standing != before {
				changes = append(changes, heard{key: k, told: m, verdict: v})
			}
		}
		return false
	})
	return changes
}

// forgetNowAndThen drops what is held no longer, until the context ends.
func (n *Node) forgetNowAndThen(ctx context.Context) {
	tick := time.NewTicker(forgetInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		n.change(func(now time.Time, t *Table) bool {
			t.Forget(now)
			return false
		})
	}
}

// Count is how many requests are suspected, and how many of these are in quarantine.
func (n *Node) Count() (suspected, quarantined int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Count(n.now())
}

// Dump lists what is held against requests, for operators.
func (n *Node) Dump() any {
	n.mu.Lock()
	defer n.mu.Unlock()
	return Show(n.table.All(n.now()))
}

// change calls a function that changes the table, and has the replicas told if it says so.
func (n *Node) change(f func(now time.Time, t *Table) (tell bool)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	tell := f(n.now(), n.table)
	n.known.Store(int64(n.table.Len()))
	if !tell {
		return
	}
	for _, t := range n.tellers {
		t.wake()
	}
}

func (n *Node) tell(msg string, kv ...any) {
	ok, leftOut := n.lines.Take()
	if !ok {
		return
	}
	if leftOut > 0 {
		kv = append(kv, "lines_left_out", leftOut)
	}
	kernel.Info(n.log, msg, kv...)
}
