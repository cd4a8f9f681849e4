package directory

import "github.com/snipereach/snipereach/wire"

// GroupEpoch is the latest epoch that the ranks of a group report, and whether any rank
// reports the group as broken in it. Reports of earlier epochs are ignored.
type GroupEpoch struct {
	Epoch  uint64
	Broken bool
}

// Merge merges the report of one rank.
func (g *GroupEpoch) Merge(d *wire.DirectUpstream) {
	if d.GroupEpoch > g.Epoch {
		g.Epoch, g.Broken = d.GroupEpoch, false
	}
	if d.GroupEpoch == g.Epoch {
		g.Broken = g.Broken || d.GroupBroken
	}
}
