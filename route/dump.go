package route

import (
	"slices"
	"strings"
	"time"
)

// UpstreamState is what a balancer thinks of an upstream, for operators.
type UpstreamState struct {
	ID          string  `json:"id"`
	Incarnation uint64  `json:"incarnation"`
	Requests    int     `json:"requests_estimated"`
	InFlight    int     `json:"in_flight"`
	Slots       int     `json:"slots"`
	LoadAge     float64 `json:"load_age_seconds"`
	// Phase is ok, starting, probing, ejected or leaving.
	Phase string `json:"phase"`
	// CacheSeq is the last cache event.
	CacheSeq uint64 `json:"cache_seq,omitempty"`
}

// Dumper is a balancer that shows what it knows.
type Dumper interface {
	Dump(now time.Time) []UpstreamState
}

// Dump implements Dumper.
func (p *pool) Dump(now time.Time) []UpstreamState {
	list := make([]UpstreamState, 0, len(p.list))
	for _, s := range p.list {
		d := UpstreamState{
			ID: s.ID, Incarnation: s.Incarnation, Requests: s.requests(), InFlight: s.inflight,
			Slots: s.width(), Phase: s.phase(now), LoadAge: -1,
		}
		if !s.made.IsZero() {
			d.LoadAge = now.Sub(s.made).Seconds()
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
	case h.share(now) < 1:
		return "starting"
	}
	return "ok"
}

// Dump implements Dumper.
func (b *Prefix) Dump(now time.Time) []UpstreamState {
	list := b.pool.Dump(now)
	for i := range list {
		list[i].CacheSeq = b.seqs[b.byID[list[i].ID].bit]
	}
	return list
}
