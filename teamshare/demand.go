package teamshare

import (
	"cmp"
	"slices"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/wire"
)

// ErrInvalidReport is returned for a report that no gateway of this version sends.
var ErrInvalidReport = merry.Sentinel("invalid demand report")

const (
	// MaxTeams bounds the teams that are counted by themselves. All others are counted as OtherTeams.
	MaxTeams = 256
	// OtherTeams stands for all teams that aren't counted by themselves, and for requests without one.
	OtherTeams = ""
	// maxPriorities bounds the priorities of a team, maxCauses the causes of its refusals. Further ones
	// are counted with the last. The configuration has 10 priorities, gateways have fewer causes.
	maxPriorities, maxCauses = 10, 16
	// maxNameBytes bounds names in reports.
	maxNameBytes = 256
)

// Demand counts the requests of one team and priority.
type Demand struct {
	Team     string `json:"team"`
	Priority uint32 `json:"priority"`
	Arrived  uint32 `json:"arrived"`
	Admitted uint32 `json:"admitted"`
	Refused  uint32 `json:"refused"`
	// Causes counts the refused requests by cause.
	Causes []CauseCount `json:"causes,omitempty"`
}

// CauseCount is the number of requests that were refused for a cause.
type CauseCount struct {
	Cause string `json:"cause"`
	Count uint32 `json:"count"`
}

// add adds the counts of another Demand. The two must not share Causes.
func (d *Demand) add(other Demand) {
	d.Arrived += other.Arrived
	d.Admitted += other.Admitted
	for _, c := range other.Causes {
		d.refuse(c.Cause, c.Count)
	}
}

// refuse counts refused requests.
func (d *Demand) refuse(cause string, n uint32) {
	d.Refused += n
	for i := range d.Causes {
		if d.Causes[i].Cause == cause || i == maxCauses-1 {
			d.Causes[i].Count += n
			return
		}
	}
	d.Causes = append(d.Causes, CauseCount{Cause: cause, Count: n})
}

// sums adds up Demands by team and priority.
type sums struct {
	byTeam map[string][]Demand
}

func newSums() *sums { return &sums{byTeam: map[string][]Demand{}} }

// of returns the Demand of a team and priority, to be changed at once.
func (s *sums) of(team string, priority uint32) *Demand {
	list := s.byTeam[team]
	for i := range list {
		if list[i].Priority == priority || i == maxPriorities-1 {
			return &list[i]
		}
	}
	list = append(list, Demand{Team: team, Priority: priority})
	s.byTeam[team] = list
	return &list[len(list)-1]
}

func (s *sums) add(list []Demand) {
	for _, d := range list {
		s.of(d.Team, d.Priority).add(d)
	}
}

// arrived returns the requests of a team over all priorities.
func arrived(list []Demand) (n uint64) {
	for _, d := range list {
		n += uint64(d.Arrived)
	}
	return n
}

// list returns the Demands of the teams with the most requests, at most maxTeams of them, ordered by
// team and priority. Those of the other teams are added up as OtherTeams.
func (s *sums) list(maxTeams int) (list []Demand) {
	var teams []string
	for team := range s.byTeam {
		if team != OtherTeams {
			teams = append(teams, team)
		}
	}
	if len(teams) > maxTeams {
		count := make(map[string]uint64, len(teams))
		for _, team := range teams {
			count[team] = arrived(s.byTeam[team])
		}
		slices.SortFunc(teams, func(a, b string) int {
			return cmp.Or(-cmp.Compare(count[a], count[b]), cmp.Compare(a, b))
		})
		others := newSums()
		others.add(s.byTeam[OtherTeams])
		for _, team := range teams[maxTeams:] {
			for _, d := range s.byTeam[team] {
				others.of(OtherTeams, d.Priority).add(d)
			}
		}
		list = others.byTeam[OtherTeams]
		teams = teams[:maxTeams]
	} else {
		list = cloneAll(s.byTeam[OtherTeams])
	}
	for _, team := range teams {
		list = append(list, cloneAll(s.byTeam[team])...)
	}
	slices.SortFunc(list, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Priority, b.Priority))
	})
	return list
}

func cloneAll(list []Demand) []Demand {
	list = slices.Clone(list)
	for i := range list {
		list[i].Causes = slices.Clone(list[i].Causes)
	}
	return list
}

// ToWire returns Demands as a message has them.
func ToWire(list []Demand) []*wire.TeamDemand {
	out := make([]*wire.TeamDemand, len(list))
	for i, d := range list {
		out[i] = &wire.TeamDemand{Team: d.Team, Priority: d.Priority, Arrived: d.Arrived, Admitted: d.Admitted}
		for _, c := range d.Causes {
			out[i].Refused = append(out[i].Refused, &wire.RefusedCount{Cause: c.Cause, Count: c.Count})
		}
	}
	return out
}

// FromWire returns the Demands of a message.
func FromWire(list []*wire.TeamDemand) []Demand {
	out := make([]Demand, len(list))
	for i, m := range list {
		out[i] = Demand{Team: m.Team, Priority: m.Priority, Arrived: m.Arrived, Admitted: m.Admitted}
		for _, c := range m.Refused {
			out[i].refuse(c.Cause, c.Count)
		}
	}
	return out
}

// Check returns an error if a report is incomplete or too large.
func Check(r *wire.DemandReport) error {
	bad := func(detail string) error { return merry.Prepend(ErrInvalidReport, detail) }
	switch {
	case r.Gateway == "" || len(r.Gateway) > maxNameBytes:
		return bad("gateway")
	case r.Service == "" || len(r.Service) > maxNameBytes:
		return bad("service")
	case len(r.Teams) > (MaxTeams+1)*maxPriorities:
		return bad("too many counts")
	}
	teams := map[string]bool{OtherTeams: true}
	for _, d := range r.Teams {
		if len(d.Team) > maxNameBytes || len(d.Refused) > maxCauses {
			return bad("count of a team")
		}
		for _, c := range d.Refused {
			if len(c.Cause) > maxNameBytes {
				return bad("cause")
			}
		}
		teams[d.Team] = true
	}
	if len(teams) > MaxTeams+1 {
		return bad("too many teams")
	}
	return nil
}
