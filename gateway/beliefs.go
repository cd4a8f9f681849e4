package gateway

import (
	"strings"
	"time"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/kernel"
)

// beliefLines bounds the lines about upstreams, gates and replicas, a second.
const beliefLines = 20

// believe writes a line about what the gateway believes of others.
func (g *Gateway) believe(msg string, kv ...any) {
	ok, leftOut := g.beliefs.Take()
	if !ok {
		return
	}
	if leftOut > 0 {
		kv = append(kv, "lines_left_out", leftOut)
	}
	kernel.Info(g.log, msg, kv...)
}

// tellUpstreams tells which upstreams came, changed or are gone.
func (g *Gateway) tellUpstreams(now []*directory.Instance) {
	g.mu.Lock()
	before := g.known
	g.known = map[string]*directory.Instance{}
	for _, i := range now {
		g.known[i.Id] = i
	}
	known := g.known
	g.mu.Unlock()
	for id, i := range known {
		old := before[id]
		if old != nil && old.Phase == i.Phase && old.Direct.GetGroupEpoch() == i.Direct.GetGroupEpoch() && old.Direct.GetGroupBroken() == i.Direct.GetGroupBroken() {
			continue
		}
		g.believe("Upstream.", "upstream", id, "phase", i.Phase, "pools", strings.Join(i.Pools, ","), "addr", i.Address, "failure_domain", i.FailureDomain,
			"seq", i.Seq, "group", i.Group, "rank", i.Rank, "epoch", i.Direct.GetGroupEpoch(), "broken", i.Direct.GetGroupBroken())
	}
	for id, old := range before {
		if known[id] == nil {
			g.believe("Upstream is gone.", "upstream", id, "pools", strings.Join(old.Pools, ","), "addr", old.Address, "last_phase", old.Phase, "seq", old.Seq)
		}
	}
}

// tellGate tells that the gate of a group of a service has changed.
func (g *Gateway) tellGate(service string, c gateChange) {
	g.believe("Service.", "service", service, "group", c.group, "before", c.before, "now", c.after, "why", c.inputs)
}

// tellPasses tells how long the passes of a group were in the last second, and what the entry
// made of them.
func (g *Gateway) tellPasses(service, group string, seen passCount, inputs string) {
	g.believe("Group's passes.", "service", service, "group", group, "passes", seen.n, "long", seen.long, "mean", seen.mean().Round(time.Millisecond),
		"longest", seen.longest.Round(time.Millisecond), "content", seen.content, "gate", inputs)
}
