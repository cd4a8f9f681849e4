package directory

import "github.com/snipereach/snipereach/wire"

// GroupEpoch is what the ranks of a group say of its latest forming: it holds against
// what is left of earlier ones, and one rank that calls it broken is enough.
type GroupEpoch struct {
	Epoch  uint64
	Broken bool
}

// Take takes what one rank says.
func (g *GroupEpoch) Take(d *wire.DirectUpstream) {
	if d.GroupEpoch > g.Epoch {
		g.Epoch, g.Broken = d.GroupEpoch, false
	}
	if d.GroupEpoch == g.Epoch {
		g.Broken = g.Broken || d.GroupBroken
	}
}
