package routing

import (
	"crypto/sha256"
	"net"
	"sort"
	"strings"

	"github.com/snipereach/snipereach/wire"
)

// Table answers requests from one configuration. It is immutable.
type Table struct {
	Config *wire.RoutingConfig

	services map[string]*wire.RoutedService
	// hosts holds the routes of each host, the longest prefix first.
	hosts map[string][]*wire.Route
	teams map[keyHash]*wire.KeyedTeam
}

type keyHash [sha256.Size]byte

// HashKey is how a caller's key is kept and compared.
func HashKey(key string) []byte {
	h := sha256.Sum256([]byte(key))
	return h[:]
}

// NewTable makes a table of a checked configuration.
func NewTable(c *wire.RoutingConfig) *Table {
	t := &Table{
		Config:   c,
		services: map[string]*wire.RoutedService{},
		hosts:    map[string][]*wire.Route{},
		teams:    map[keyHash]*wire.KeyedTeam{},
	}
	for _, s := range c.Services {
		t.services[s.Name] = s
	}
	for _, r := range c.Routes {
		key := hostKey(r.Host)
		t.hosts[key] = append(t.hosts[key], r)
	}
	for _, list := range t.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
	}
	for _, team := range c.Teams {
		for _, k := range team.KeyHashes {
			t.teams[keyHash(k)] = team
		}
	}
	return t
}

// hostKey is how hosts are compared: without case.
func hostKey(host string) string { return strings.ToLower(host) }

// Match returns the route of a request: of its host's routes, the one with the
// longest prefix that begins the path; nil if there is none. host may carry a
// port.
func (t *Table) Match(host, path string) *wire.Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.hosts[hostKey(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns a service, or nil.
func (t *Table) Service(name string) *wire.RoutedService { return t.services[name] }

// TeamOf returns the team that holds a key, or nil.
func (t *Table) TeamOf(key string) *wire.KeyedTeam {
	if key == "" {
		return nil
	}
	return t.teams[sha256.Sum256([]byte(key))]
}

// NeedsKey says whether a request on a route must show a key.
func (t *Table) NeedsKey(r *wire.Route) bool { return len(t.Config.Teams) > 0 && !r.Anonymous }

// Choose returns the service of one request. draw is uniform in [0, 1).
func Choose(r *wire.Route, draw float64) string {
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

// Repeatable says whether a request on a route may run more than once.
func Repeatable(r *wire.Route) bool {
	return r.Kind == wire.RouteKind_ROUTE_KIND_SAFE || r.Kind == wire.RouteKind_ROUTE_KIND_STREAMING && r.Resume
}

// Urgency is the priority of a request: its team's, or else its route's; 0 is the
// most urgent.
func Urgency(r *wire.Route, team *wire.KeyedTeam) uint32 {
	if team.GetHasPriority() {
		return team.Priority
	}
	return r.Priority
}
