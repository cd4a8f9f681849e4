package control

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

// parseMembers parses members of the form "ID DOMAIN FLAGS", separated by semicolons. The flags
// are v for a voter, l for live, c for caught up and s for about to stop.
func parseMembers(text string) []member {
	var list []member
	for line := range strings.SplitSeq(text, ";") {
		f := strings.Fields(line)
		flag := func(c string) bool { return len(f) > 2 && strings.Contains(f[2], c) }
		list = append(list, member{
			Peer: &wire.Peer{Id: f[0], FailureDomain: f[1], Learner: !flag("v")}, live: flag("l"), caughtUp: flag("c"), leaving: flag("s"),
		})
	}
	return list
}

// Invalid replacement requests are refused with the reason. A valid one promotes the
// replacement before the lost replica is removed, so that the number of caught-up voters never
// decreases.
func TestNextReplacementChange(t *testing.T) {
	for _, c := range []struct {
		members, old, promote, remove, refused string
	}{
		{"a/1 x vlc;b/1 y vlc;c/1 z vlc", "d/1", "", "", "is no member"},
		{"a/1 x vlc;b/1 y vlc;c/1 z vlc", "c", "", "", "is no member"},
		{"a/1 x vlc;b/1 y vlc;c/1 z vlc", "c/1", "", "", "is live"},
		{"a/1 x vlc;b/1 y vlc;c/1 z v", "c/1", "", "", "has caught up"},
		{"a/1 x vlc;b/1 y vlc;c/1 z v;c/2 z l", "c/1", "", "", "has caught up"},
		{"a/1 x vlc;b/1 y vlc;c/1 z v;c/2 z lc", "c/1", "c/2", "", ""},
		{"a/1 x vlc;b/1 y vlc;c/1 z v;d/1 x lc;e/1 z lc", "c/1", "e/1", "", ""},
		{"a/1 x vlc;b/1 y vlc;c/1 z v;d/1 x vlc", "c/1", "", "c/1", ""},
		{"a/1 x vlc;b/1 y vlc;c/1 z v;d/1 x vl", "c/1", "", "", "has caught up"},
		{"a/1 x vlc;b/1 y vlc;c/1 z vlc;d/1 x ", "d/1", "", "d/1", ""},
	} {
		s, refused := nextReplacementChange(parseMembers(c.members), c.old, 3)
		assert.Equal(t, s, membershipChange{promote: c.promote, remove: c.remove}, c.members)
		assert.Equal(t, refused != "", c.refused != "", refused)
		assert.Assert(t, strings.Contains(refused, c.refused), refused)
	}
}

// A dead voter is removed once a caught-up learner can replace it, which is promoted next. A voter
// that is about to stop is removed after the promotion.
func TestNextMembershipChange(t *testing.T) {
	for _, c := range []struct{ name, members, promote, remove string }{
		{"all voters live", "a/1 x vlc;b/1 y vlc;c/1 z vlc", "", ""},
		{"spare learner", "a/1 x vlc;b/1 y vlc;c/1 z vlc;d/1 z lc", "", ""},
		{"no replacement", "a/1 x vlc;b/1 y vlc;c/1 z v", "", ""},
		{"replacement not caught up", "a/1 x vlc;b/1 y vlc;c/1 z v;d/1 z l", "", ""},
		{"replacement with another name", "a/1 x vlc;b/1 y vlc;c/1 z v;d/1 z lc", "", "c/1"},
		{"replacement promoted after the removal", "a/1 x vlc;b/1 y vlc;d/1 z lc", "d/1", ""},
		{"dead voter kept while voters are missing", "a/1 x vlc;c/1 z v;d/1 z lc", "d/1", ""},
		{"dead voter removed after the promotion", "a/1 x vlc;b/1 y vlc;c/1 z v;d/1 z vlc", "", "c/1"},
		{"partitioned voter returned after the promotion", "a/1 x vlc;b/1 y vlc;c/1 z vlc;d/1 z vlc", "", ""},
		{"replacement with the same name", "a/1 x vlc;b/1 y vlc;c/1 z v;d/1 x lc;c/2 z lc", "", "c/1"},
		{"replacement in the domain of the removed voter preferred", "a/1 x vlc;b/1 y vlc;d/1 x lc;c/2 z lc", "c/2", ""},
		{"failure domain with the fewest voters preferred", "a/1 x vlc;b/1 y vlc;d/1 x lc;e/1 z lc", "e/1", ""},
		{"leaving voter without a replacement", "a/1 x vlcs;b/1 y vlc;c/1 z vlc;d/1 z l", "", ""},
		{"leaving voter replaced", "a/1 x vlcs;b/1 y vlc;c/1 z vlc;d/1 z lc", "d/1", ""},
		{"leaving voter removed after the promotion", "a/1 x vlcs;b/1 y vlc;c/1 z vlc;d/1 z vlc", "", "a/1"},
		{"second leaving voter waits", "a/1 x vlcs;b/1 y vlcs;c/1 z vlc;d/1 z vlc;e/1 z lc", "", "a/1"},
		{"second leaving voter replaced", "b/1 y vlcs;c/1 z vlc;d/1 z vlc;e/1 z lc", "e/1", ""},
		{"dead voter removed before a leaving one", "a/1 x vlcs;b/1 y vlc;c/1 z v;d/1 z vlc", "", "c/1"},
		{"leaving learner not promoted", "a/1 x vlc;b/1 y vlc;d/1 z lcs", "", ""},
		{"dead learner kept", "a/1 x vlc;b/1 y vlc;c/1 z vlc;d/1 z ", "", ""},
	} {
		assert.Equal(t, nextMembershipChange(parseMembers(c.members), 3), membershipChange{promote: c.promote, remove: c.remove}, c.name)
	}
}

// A replica that lost its disk would stay a learner for replace_after if a new leader presumed its
// earlier incarnation live; the leader that added it may be lost right after.
func TestAddressTakenOver(t *testing.T) {
	peers := []*wire.Peer{
		{Id: "a/1", Address: "h1"}, {Id: "b/1", Address: "h2"}, {Id: "c/1", Address: "h3"}, {Id: "b/2", Address: "h2", Learner: true},
	}
	for id, want := range map[string]bool{"a/1": false, "b/1": true, "c/1": false, "b/2": false, "d/1": false} {
		assert.Equal(t, addressTakenOver(peers, id), want, id)
	}
}
