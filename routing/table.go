package routing

import (
	"crypto/sha256"
	"net"
	"sort"
	"strings"

	"github.com/snipereach/snipereach/wire"
)

// Table looks up routes, services and teams in a configuration. It is immutable.
type Table struct {
	Config *wire.RoutingConfig

	services map[string]*wire.RoutedService
	// routesByHost holds the routes by their lower-case Host field, the longest path
	// prefix first.
	routesByHost map[string][]*wire.Route
	teams        map[keyHash]*wire.KeyedTeam
	// urgencies holds for each model service the urgencies that its requests may have, the most
	// urgent first.
	urgencies map[string][]Urgency
}

type keyHash [sha256.Size]byte

// HashKey returns the hash by which an API key is stored and compared.
func HashKey(key string) []byte {
	h := sha256.Sum256([]byte(key))
	return h[:]
}

// NewTable creates a Table of a configuration that has passed Check.
func NewTable(c *wire.RoutingConfig) *Table {
	t := &Table{
		Config:       c,
		services:     map[string]*wire.RoutedService{},
		routesByHost: map[string][]*wire.Route{},
		teams:        map[keyHash]*wire.KeyedTeam{},
	}
	for _, s := range c.Services {
		t.services[s.Name] = s
	}
	for _, r := range c.Routes {
		key := hostKey(r.Host)
		t.routesByHost[key] = append(t.routesByHost[key], r)
	}
	for _, list := range t.routesByHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
	}
	for _, team := range c.Teams {
		for _, k := range team.KeyHashes {
			t.teams[keyHash(k)] = team
		}
	}
	t.urgencies = t.findUrgencies()
	return t
}

// hostKey returns a host name in lower case, as host names are case-insensitive.
func hostKey(host string) string { return strings.ToLower(host) }

// Match returns the route of a request: the one with the longest path prefix among
// those of its host, or nil if none matches. host may include a port.
func (t *Table) Match(host, path string) *wire.Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.routesByHost[hostKey(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns the service of the given name, or nil.
func (t *Table) Service(name string) *wire.RoutedService { return t.services[name] }

// TeamOf returns the team that an API key belongs to, or nil.
func (t *Table) TeamOf(key string) *wire.KeyedTeam {
	if key == "" {
		return nil
	}
	return t.teams[sha256.Sum256([]byte(key))]
}

// NeedsKey reports whether requests on a route must carry an API key.
func (t *Table) NeedsKey(r *wire.Route) bool { return len(t.Config.Teams) > 0 && !r.Anonymous }

// ChooseService selects the service of a request by the weights of the route's split. draw is a
// uniformly distributed random number in [0, 1).
func ChooseService(r *wire.Route, draw float64) string {
	total := uint64(0)
	for _, s := range r.Split {
		total += uint64(s.Weight)
	}
	at := uint64(draw * float64(total))
	for _, s := range r.Split {
		if at < uint64(s.Weight) {
			return s.Service
		}
		at -= uint64(s.Weight)
	}
	return r.Split[len(r.Split)-1].Service
}

// Retryable reports whether requests on a route may be executed more than once.
func Retryable(r *wire.Route) bool {
	return r.Kind == wire.RouteKind_ROUTE_KIND_SAFE || r.Kind == wire.RouteKind_ROUTE_KIND_STREAMING && r.Resume
}

// RequestPriority returns the priority of a request: that of its team if it has one, otherwise
// that of its route. 0 is the highest priority.
func RequestPriority(r *wire.Route, team *wire.KeyedTeam) uint32 {
	if team.GetHasPriority() {
		return team.Priority
	}
	return r.Priority
}
