package routing

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/snipereach/snipereach/wire"
)

// Urgency is what orders the requests of a service: the priority of the request, and among
// requests of one priority that of their routes. 0 is the most urgent.
//
// A team's priority goes before that of the route. Where all teams have the same one, as in a
// configuration that states it for each of them, the routes still differ.
type Urgency struct {
	Priority, RoutePriority uint32
}

// UrgencyOf returns the urgency of a request. team may be nil.
func UrgencyOf(r *wire.Route, team *wire.KeyedTeam) Urgency {
	return Urgency{Priority: RequestPriority(r, team), RoutePriority: r.Priority}
}

func (u Urgency) compare(v Urgency) int {
	return cmp.Or(cmp.Compare(u.Priority, v.Priority), cmp.Compare(u.RoutePriority, v.RoutePriority))
}

// Urgencies returns how many urgencies the requests of a service may have. Services that aren't
// model services have none: their requests are short, and their upstreams queue a few.
func (t *Table) Urgencies(service string) int { return len(t.urgencies[service]) }

// Rank returns the rank of a request among the urgencies of a service: 0 for the most urgent. It
// is 0 for all requests of a service that aren't ranked.
func (t *Table) Rank(service string, r *wire.Route, team *wire.KeyedTeam) uint32 {
	i, _ := slices.BinarySearchFunc(t.urgencies[service], UrgencyOf(r, team), Urgency.compare)
	return uint32(i)
}

// findUrgencies returns the urgencies of the requests of each model service. A route with weight 0 sends
// it none.
func (t *Table) findUrgencies() map[string][]Urgency {
	found := map[string]map[Urgency]bool{}
	for _, s := range t.Config.Services {
		if s.Engine != nil {
			found[s.Name] = map[Urgency]bool{}
		}
	}
	teams := t.teamsByPriority()
	for _, r := range t.Config.Routes {
		for _, s := range r.Split {
			list := found[s.Service]
			if list == nil || s.Weight == 0 {
				continue
			}
			if !t.NeedsKey(r) {
				list[UrgencyOf(r, nil)] = true
				continue
			}
			for _, team := range teams {
				list[UrgencyOf(r, team)] = true
			}
		}
	}
	sorted := map[string][]Urgency{}
	for service, list := range found {
		sorted[service] = slices.SortedFunc(maps.Keys(list), Urgency.compare)
	}
	return sorted
}

// teamsByPriority returns one team of each priority, and one that has none.
func (t *Table) teamsByPriority() (list []*wire.KeyedTeam) {
	type priority struct {
		set   bool
		value uint32
	}
	seen := map[priority]bool{}
	for _, team := range t.Config.Teams {
		p := priority{team.HasPriority, team.Priority}
		if !seen[p] {
			seen[p] = true
			list = append(list, team)
		}
	}
	return list
}

// RankedServices returns the services whose requests differ in urgency, for logs.
func (t *Table) RankedServices() string {
	var list []string
	for service, urgencies := range t.urgencies {
		if len(urgencies) > 1 {
			list = append(list, fmt.Sprintf("%s:%v", service, urgencies))
		}
	}
	slices.Sort(list)
	return strings.Join(list, ",")
}
