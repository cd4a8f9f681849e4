package gateway

import (
	"strings"
	"time"

	"github.com/snipereach/snipereach/directory"
)

// stateLogLines bounds the log lines per second about the state of upstreams, groups and control
// replicas.
const stateLogLines = 20

// logState writes a line about the state of another process, unless the limit is reached.
func (g *Gateway) logState(msg string, kv ...any) { g.stateLog.Info(msg, kv...) }

// logUpstreams logs which upstreams appeared, changed or are gone.
func (g *Gateway) logUpstreams(current []*directory.Instance) {
	g.mu.Lock()
	previous := g.knownUpstreams
	g.knownUpstreams = map[string]*directory.Instance{}
	for _, i := range current {
		g.knownUpstreams[i.Id] = i
	}
	known := g.knownUpstreams
	g.mu.Unlock()
	for id, i := range known {
		old := previous[id]
		if old != nil && old.Phase == i.Phase && old.Direct.GetGroupEpoch() == i.Direct.GetGroupEpoch() && old.Direct.GetGroupBroken() == i.Direct.GetGroupBroken() {
			continue
		}
		g.logState("Upstream changed.", "upstream", id, "phase", i.Phase, "pools", strings.Join(i.Pools, ","), "addr", i.Address, "failure_domain", i.FailureDomain,
			"seq", i.Seq, "group", i.Group, "rank", i.Rank, "epoch", i.Direct.GetGroupEpoch(), "broken", i.Direct.GetGroupBroken())
	}
	for id, old := range previous {
		if known[id] == nil {
			g.logState("Upstream is gone.", "upstream", id, "pools", strings.Join(old.Pools, ","), "addr", old.Address, "last_phase", old.Phase, "seq", old.Seq)
		}
	}
}

// logStateChange logs that the state of a group of a service has changed.
func (g *Gateway) logStateChange(service string, c stateChange) {
	g.logState("Group state changed.", "service", service, "group", c.group, "before", c.before, "now", c.after, "why", c.inputs)
}

// logPasses logs the durations of a group's passes, and the inputs of admission decisions.
func (g *Gateway) logPasses(service, group string, stats passStats, inputs string) {
	g.logState("Group pass statistics.", "service", service, "group", group, "passes", stats.count, "long", stats.long, "mean", stats.mean().Round(time.Millisecond),
		"longest", stats.longest.Round(time.Millisecond), "content", stats.targetGap, "gate", inputs)
}
