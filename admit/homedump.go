package admit

import (
	"sort"
	"time"
)

// Live returns the sum of what all entries may use of a subject now.
func (h *Home) Live(now time.Time, s Subject) Amounts {
	all := h.subjects[s]
	if all == nil {
		return Amounts{}
	}
	all.settle(now)
	return all.sums.total().used
}

// SubjectState is one subject in a dump.
type SubjectState struct {
	Team       string  `json:"team"`
	Service    string  `json:"service"`
	Entries    int     `json:"entries"`
	Requests   float64 `json:"requests_per_second"`
	Tokens     float64 `json:"tokens_per_second"`
	Concurrent float64 `json:"concurrent"`
}

// Dump lists the subjects that are granted now.
func (h *Home) Dump(now time.Time) []SubjectState {
	var list []SubjectState
	for s, all := range h.subjects {
		live := h.Live(now, s)
		list = append(list, SubjectState{
			Team: s.Team, Service: s.Service, Entries: len(all.byEntry),
			Requests: finite(live.Requests), Tokens: finite(live.Tokens), Concurrent: finite(live.Concurrent),
		})
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Team != list[j].Team {
			return list[i].Team < list[j].Team
		}
		return list[i].Service < list[j].Service
	})
	return list
}
