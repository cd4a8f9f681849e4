package routing

import (
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/wire"
)

// ErrInvalid is returned for a configuration that can't be in force. The message
// names what is wrong.
var ErrInvalid = merry.Sentinel("configuration is invalid")

func invalid(format string, args ...any) error {
	return merry.Prependf(ErrInvalid, format, args...)
}

// Check refuses a configuration that could not be carried out as a whole. It
// doesn't look at what is in force, so that any replica may answer at once and
// an invalid document never reaches the log.
func Check(c *wire.RoutingConfig) error {
	if c.Version == 0 {
		return invalid("version: must be positive")
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

func checkServices(list []*wire.RoutedService) (map[string]bool, error) {
	known := map[string]bool{}
	for _, s := range list {
		if s.Name == "" {
			return nil, invalid("services: a name is empty")
		}
		if known[s.Name] {
			return nil, invalid("service %q: named twice", s.Name)
		}
		known[s.Name] = true
	}
	return known, nil
}

func checkRoutes(list []*wire.Route, services map[string]bool) error {
	places := map[string]string{}
	for _, r := range list {
		if err := checkRoute(r, services); err != nil {
			return err
		}
		place := hostKey(r.Host) + r.PathPrefix
		if other, taken := places[place]; taken {
			return invalid("route %q: host and prefix are those of route %q", r.Name, other)
		}
		places[place] = r.Name
	}
	return nil
}

func checkRoute(r *wire.Route, services map[string]bool) error {
	switch {
	case r.Host == "":
		return invalid("route %q: host is empty", r.Name)
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		return invalid("route %q: prefix %q must begin and end with a slash", r.Name, r.PathPrefix)
	case r.Kind == wire.RouteKind_ROUTE_KIND_UNSPECIFIED:
		return invalid("route %q: kind is not known", r.Name)
	case r.TimeoutMs == 0:
		return invalid("route %q: timeout must be positive", r.Name)
	}
	total := uint64(0)
	for _, s := range r.Split {
		if !services[s.Service] {
			return invalid("route %q: service %q is not known", r.Name, s.Service)
		}
		total += uint64(s.Weight)
	}
	if total == 0 {
		return invalid("route %q: weights add up to 0", r.Name)
	}
	return nil
}

// checkTeams refuses a key that two teams hold: whose request it is could not be
// said.
func checkTeams(list []*wire.KeyedTeam) error {
	names := map[string]bool{}
	holders := map[string]string{}
	for _, t := range list {
		if t.Name == "" {
			return invalid("teams: a name is empty")
		}
		if names[t.Name] {
			return invalid("team %q: named twice", t.Name)
		}
		names[t.Name] = true
		for _, k := range t.KeyHashes {
			if other, held := holders[string(k)]; held && other != t.Name {
				return invalid("team %q: shares a key with team %q", t.Name, other)
			}
			holders[string(k)] = t.Name
		}
	}
	return nil
}
