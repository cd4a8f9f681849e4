package routing

import (
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/wire"
)

// ErrInvalid is returned by Check. The message names the invalid part.
var ErrInvalid = merry.Sentinel("configuration is invalid")

func invalidf(format string, args ...any) error {
	return merry.Prependf(ErrInvalid, format, args...)
}

// Check returns ErrInvalid for a configuration that can't be applied as a whole. It
// doesn't depend on the configuration in force, so that any replica can reject an
// invalid one before it reaches the replicated log.
func Check(c *wire.RoutingConfig) error {
	if c.Version == 0 {
		return invalidf("version: must be positive")
	}
	services, err := checkServices(c.Services)
	if err != nil {
		return err
	}
	if err := checkRoutes(c.Routes, services); err != nil {
		return err
	}
	return checkTeams(c.Teams)
}

// checkServices returns the set of the services' names.
func checkServices(list []*wire.RoutedService) (map[string]bool, error) {
	names := map[string]bool{}
	for _, s := range list {
		if s.Name == "" {
			return nil, invalidf("services: name is empty")
		}
		if names[s.Name] {
			return nil, invalidf("service %q: duplicate name", s.Name)
		}
		names[s.Name] = true
	}
	return names, nil
}

func checkRoutes(list []*wire.Route, services map[string]bool) error {
	matches := map[string]string{}
	for _, r := range list {
		if err := checkRoute(r, services); err != nil {
			return err
		}
		match := hostKey(r.Host) + r.PathPrefix
		if other, ok := matches[match]; ok {
			return invalidf("route %q: same host and prefix as route %q", r.Name, other)
		}
		matches[match] = r.Name
	}
	return nil
}

func checkRoute(r *wire.Route, services map[string]bool) error {
	switch {
	case r.Host == "":
		return invalidf("route %q: host is empty", r.Name)
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		return invalidf("route %q: prefix %q must begin and end with a slash", r.Name, r.PathPrefix)
	case r.Kind == wire.RouteKind_ROUTE_KIND_UNSPECIFIED:
		return invalidf("route %q: kind is unspecified", r.Name)
	case r.TimeoutMs == 0:
		return invalidf("route %q: timeout must be positive", r.Name)
	}
	total := uint64(0)
	for _, s := range r.Split {
		if !services[s.Service] {
			return invalidf("route %q: service %q does not exist", r.Name, s.Service)
		}
		total += uint64(s.Weight)
	}
	if total == 0 {
		return invalidf("route %q: sum of weights is 0", r.Name)
	}
	return nil
}

// checkTeams rejects a key shared by two teams, which would make the team of a request
// ambiguous.
func checkTeams(list []*wire.KeyedTeam) error {
	names := map[string]bool{}
	holders := map[string]string{}
	for _, t := range list {
		if t.Name == "" {
			return invalidf("teams: name is empty")
		}
		if names[t.Name] {
			return invalidf("team %q: duplicate name", t.Name)
		}
		names[t.Name] = true
		for _, k := range t.KeyHashes {
			if other, ok := holders[string(k)]; ok && other != t.Name {
				return invalidf("team %q: shares a key with team %q", t.Name, other)
			}
			holders[string(k)] = t.Name
		}
	}
	return nil
}
