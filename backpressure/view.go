package backpressure

import (
	"cmp"
	"slices"

	"github.com/snipereach/snipereach/wire"
)

// View is what operators are shown of one upstream that asks something of gateways.
type View struct {
	Upstream string `json:"upstream"`
	// Limited says whether it has a limit, PerS is the limit in requests a second over all gateways.
	Limited bool    `json:"limited"`
	PerS    float64 `json:"per_s"`
	Leaving bool    `json:"leaving"`
	// AgeMS is how long ago a gateway last heard this, HeardBy the ID of that gateway; empty if the
	// upstream has only asked for rest.
	AgeMS   int64  `json:"age_ms"`
	HeardBy string `json:"heard_by,omitempty"`
	// Rests are the gateways that it has asked for rest.
	Rests []RestView `json:"rests,omitempty"`
}

// RestView is a rest that an upstream has asked one gateway for.
type RestView struct {
	Gateway string `json:"gateway"`
	LeftMS  int64  `json:"left_ms"`
}

// Views returns the upstreams that ask anything of gateways now, ordered by ID. Of several statements
// about one upstream the youngest is shown, of several reports of a rest the one that ends last.
func Views(statements []*wire.UpstreamStatement, rests []*wire.UpstreamRest) []View {
	byUpstream := map[string]*View{}
	view := func(id string) *View {
		if byUpstream[id] == nil {
			byUpstream[id] = &View{Upstream: id}
		}
		return byUpstream[id]
	}
	for _, m := range statements {
		v := view(m.Upstream)
		if v.HeardBy != "" && v.AgeMS <= int64(m.AgeMs) {
			continue
		}
		v.Limited, v.PerS, v.Leaving, v.AgeMS, v.HeardBy = m.Limited, m.PerS, m.Leaving, int64(m.AgeMs), m.HeardBy
	}
	for _, m := range rests {
		view(m.Upstream).addRest(RestView{Gateway: m.Gateway, LeftMS: int64(m.LeftMs)})
	}
	list := []View{}
	for _, v := range byUpstream {
		if v.Limited || v.Leaving || len(v.Rests) > 0 {
			slices.SortFunc(v.Rests, func(a, b RestView) int { return cmp.Compare(a.Gateway, b.Gateway) })
			list = append(list, *v)
		}
	}
	slices.SortFunc(list, func(a, b View) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return list
}

func (v *View) addRest(r RestView) {
	i := slices.IndexFunc(v.Rests, func(known RestView) bool { return known.Gateway == r.Gateway })
	if i < 0 {
		v.Rests = append(v.Rests, r)
		return
	}
	v.Rests[i].LeftMS = max(v.Rests[i].LeftMS, r.LeftMS)
}
