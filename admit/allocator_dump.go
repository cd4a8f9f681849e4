package admit

import (
	"sort"
	"time"
)

// InUse returns the sum of what all entries may be using of a subject now.
func (h *ShareAllocator) InUse(now time.Time, s Subject) Amounts {
	all := h.subjects[s]
	if all == nil {
		return Amounts{}
	}
	all.advance(now)
	return all.totals.total().used
}

// SubjectState describes one subject in a dump of the allocator; -1 means unlimited.
type SubjectState struct {
	Team       string  `json:"team"`
	Service    string  `json:"service"`
	Entries    int     `json:"entries"`
	Requests   float64 `json:"requests_per_second"`
	Tokens     float64 `json:"tokens_per_second"`
	Concurrent float64 `json:"concurrent"`
}

// Dump returns the subjects that the allocator keeps accounts of, ordered by team and service.
func (h *ShareAllocator) Dump(now time.Time) []SubjectState {
	var list []SubjectState
	for s, all := range h.subjects {
		live := h.InUse(now, s)
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
