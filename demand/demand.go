// Package demand shows operators what callers ask of contended services, from the sums over all gateways
// that control replicas hold.
package demand

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/snipereach/snipereach/teamshare"
	"github.com/snipereach/snipereach/wire"
)

// List has the services that are contended now.
type List struct {
	Services []Service `json:"services"`
	// Unanswered are the addresses of the replicas that didn't answer. Services whose gateways report to
	// one of these may be missing.
	Unanswered []string `json:"unanswered,omitempty"`
}

// Service is what was asked of one service within a span of time, summed over its gateways.
type Service struct {
	Service string `json:"service"`
	// SpanMS is the span that the counts cover.
	SpanMS int64 `json:"span_ms"`
	// Gateways is the number of gateways in the sums, AgeMS the age of the oldest of their reports, and
	// Replica the address of the control replica that holds the sums.
	Gateways uint32 `json:"gateways"`
	AgeMS    int64  `json:"age_ms"`
	Replica  string `json:"replica"`
	// FairShare is the fair share of each team, in requests within the span over all its priorities. If
	// Limited is false, everything that teams asked for was admitted, and none is held to a share.
	FairShare float64 `json:"fair_share"`
	Limited   bool    `json:"limited"`
	Teams     []Team  `json:"teams"`
}

// Team counts the requests of one team and priority within the span.
type Team struct {
	// Team is empty for all teams that aren't counted by themselves.
	Team     string `json:"team"`
	Priority uint32 `json:"priority"`
	Arrived  uint32 `json:"arrived"`
	Admitted uint32 `json:"admitted"`
	Refused  uint32 `json:"refused"`
	// Causes are those of the refusals, the most frequent first.
	Causes []CauseCount `json:"causes,omitempty"`
	// OverShare says that the team, over all its priorities, is over its fair share.
	OverShare bool `json:"over_share"`
}

// CauseCount is the number of refusals for one cause.
type CauseCount struct {
	Cause string `json:"cause"`
	Count uint32 `json:"count"`
}

// Reply is what one control replica knows.
type Reply struct {
	// Replica is the address of the replica.
	Replica  string
	Services []*wire.DemandTotals
}

// Merge returns the services that any of the replicas knows, ordered by name. Gateways that don't reach
// the replica of a service report to another one, so several may know it: the sums of most gateways are
// shown, and of equally many the youngest.
func Merge(replies []Reply) []Service {
	type source struct {
		totals  *wire.DemandTotals
		replica string
	}
	best := map[string]source{}
	for _, r := range replies {
		for _, t := range r.Services {
			if known, ok := best[t.Service]; !ok || better(t, known.totals) {
				best[t.Service] = source{t, r.Replica}
			}
		}
	}
	list := []Service{}
	for _, name := range slices.Sorted(maps.Keys(best)) {
		list = append(list, newService(best[name].totals, best[name].replica))
	}
	return list
}

// better reports whether the sums a are shown rather than b.
func better(a, b *wire.DemandTotals) bool {
	return cmp.Or(cmp.Compare(a.Gateways, b.Gateways), cmp.Compare(b.AgeMs, a.AgeMs)) > 0
}

func newService(t *wire.DemandTotals, replica string) Service {
	s := Service{
		Service: t.Service, SpanMS: int64(t.SpanMs), Gateways: t.Gateways, AgeMS: int64(t.AgeMs), Replica: replica,
		Teams: []Team{},
	}
	shares := teamshare.NewShares(teamshare.FromWire(t.Teams))
	if s.Limited = !math.IsInf(shares.Level(), 1); s.Limited {
		s.FairShare = shares.Level()
	}
	for _, d := range t.Teams {
		s.Teams = append(s.Teams, newTeam(d, shares.Over(d.Team)))
	}
	slices.SortFunc(s.Teams, compareTeams)
	return s
}

func newTeam(d *wire.TeamDemand, overShare bool) Team {
	t := Team{Team: d.Team, Priority: d.Priority, Arrived: d.Arrived, Admitted: d.Admitted, OverShare: overShare}
	for _, r := range d.Refused {
		t.Refused += r.Count
		t.Causes = append(t.Causes, CauseCount{Cause: r.Cause, Count: r.Count})
	}
	slices.SortFunc(t.Causes, func(a, b CauseCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Cause, b.Cause))
	})
	return t
}

// compareTeams orders by priority, the most urgent first, and then the teams with most arrivals first.
func compareTeams(a, b Team) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(b.Arrived, a.Arrived), cmp.Compare(a.Team, b.Team))
}
