package route

import (
	"slices"
	"strings"
	"time"
)

// UpstreamState is a balancer's state for one upstream, as shown to operators.
type UpstreamState struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	// Requests is the estimated number of waiting and running requests of all entries.
	Requests int `json:"requests_estimated"`
	// InFlight is the number of requests that this entry has in flight.
	InFlight int `json:"in_flight"`
	Slots    int `json:"slots"`
	// LoadAge is the age of the last known load in seconds; -1 if none is known.
	LoadAge float64 `json:"load_age_seconds"`
	// Phase is ok, starting, probing, ejected or leaving.
	Phase string `json:"phase"`
	// CacheSeq is the sequence number of the last cache event.
	CacheSeq uint64 `json:"cache_seq,omitempty"`
}

// Dumper is implemented by balancers that can show their state.
type Dumper interface {
	Dump(now time.Time) []UpstreamState
}

// Dump implements Dumper.
func (p *pool) Dump(now time.Time) []UpstreamState {
	list := make([]UpstreamState, 0, len(p.candidates))
	for _, s := range p.candidates {
		d := UpstreamState{
			ID: s.ID, Incarnation: s.Incarnation, Requests: s.requests(), InFlight: s.inflight,
			Slots: s.capacity(), Phase: s.phase(now), LoadAge: -1,
		}
		if !s.loadTime.IsZero() {
			d.LoadAge = now.Sub(s.loadTime).Seconds()
		}
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b UpstreamState) int { return strings.Compare(a.ID, b.ID) })
	return list
}

func (h *health) phase(now time.Time) string {
	switch {
	case h.leaving:
		return "leaving"
	case h.ejected:
		return "ejected"
	case h.probing:
		return "probing"
	case h.slowStartShare(now) < 1:
		return "starting"
	}
	return "ok"
}

// Dump implements Dumper.
func (b *PrefixAffinity) Dump(now time.Time) []UpstreamState {
	list := b.pool.Dump(now)
	for i := range list {
		list[i].CacheSeq = b.cacheSeqs[b.byID[list[i].ID].bit]
	}
	return list
}
