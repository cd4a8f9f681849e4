package leader

import (
	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/wire"
)

// registeredGroup is a group as registered by its ranks.
type registeredGroup struct {
	service     string
	latestEpoch directory.GroupEpoch
	size        int
	ranks       map[int]*wire.Announcement
}

// registeredGroups groups the announcements of ranks that are called directly. Those of a
// later group epoch take precedence.
func registeredGroups(list []*wire.Announcement) map[string]registeredGroup {
	groups := map[string]registeredGroup{}
	for _, a := range list {
		if a.Group == "" || a.Direct == nil || len(a.Pools) == 0 {
			continue
		}
		g, ok := groups[a.Group]
		if !ok {
			g = registeredGroup{service: a.Pools[0], ranks: map[int]*wire.Announcement{}}
		}
		g.latestEpoch.Merge(a.Direct)
		g.size = max(g.size, int(a.Direct.GroupSize))
		if old := g.ranks[int(a.Rank)]; old == nil || a.Direct.GroupEpoch >= old.Direct.GroupEpoch {
			g.ranks[int(a.Rank)] = a
		}
		groups[a.Group] = g
	}
	return groups
}

// failureDomains returns the failure domain of each rank; empty if the rank isn't registered.
func (g *registeredGroup) failureDomains() []string {
	list := make([]string, g.size)
	for i := range list {
		list[i] = g.ranks[i].GetFailureDomain()
	}
	return list
}

// complete reports whether every rank is registered.
func (g *registeredGroup) complete() bool { return g.size > 0 && len(g.ranks) == g.size }

// engineProfileOf returns the engine profile of a service; nil if it has none.
func engineProfileOf(c *wire.RoutingConfig, service string) *wire.EngineProfile {
	for _, s := range c.GetServices() {
		if s.Name == service {
			return s.Engine
		}
	}
	return nil
}
