package control

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

// parse reads members as "ID DOMAIN FLAGS": v votes, l is live, c has caught up.
func parse(text string) []member {
	var list []member
	for line := range strings.SplitSeq(text, ";") {
		f := strings.Fields(line)
		flag := func(c string) bool { return len(f) > 2 && strings.Contains(f[2], c) }
		list = append(list, member{
			Peer: &wire.Peer{Id: f[0], FailureDomain: f[1], Learner: !flag("v")}, live: flag("l"), caughtUp: flag("c"),
		})
	}
	return list
}

// An operator orders a lost replica to be replaced. Wrong orders are refused with
// the reason; a right one first gives the newcomer its vote and then removes the
// lost one, so that the voters that hold everything never get fewer.
func TestReplaceOrders(t *testing.T) {
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
		s, refused := replaceStep(parse(c.members), c.old, 3)
		assert.Equal(t, s, step{promote: c.promote, remove: c.remove}, c.members)
		assert.Equal(t, refused != "", c.refused != "", refused)
		assert.Assert(t, strings.Contains(refused, c.refused), refused)
	}
}

// A host is gone for good and another one comes under another name. It holds everything
// before it counts, the dead voter goes after it, and at no step are there fewer live
// voters than before.
func TestNextStepMakesUpForLostVoters(t *testing.T) {
	for _, c := range []struct{ what, members, promote, remove string }{
		{"nothing to do", "a/1 x vlc;b/1 y vlc;c/1 z vlc", "", ""},
		{"a learner more", "a/1 x vlc;b/1 y vlc;c/1 z vlc;d/1 z lc", "", ""},
		{"no heir", "a/1 x vlc;b/1 y vlc;c/1 z v", "", ""},
		{"heir not caught up", "a/1 x vlc;b/1 y vlc;c/1 z v;d/1 z l", "", ""},
		{"heir of another name", "a/1 x vlc;b/1 y vlc;c/1 z v;d/1 z lc", "d/1", ""},
		{"the dead one goes after it", "a/1 x vlc;b/1 y vlc;c/1 z v;d/1 z vlc", "", "c/1"},
		{"the one that was only cut off came back meanwhile", "a/1 x vlc;b/1 y vlc;c/1 z vlc;d/1 z vlc", "", ""},
		{"heir of the same name goes first", "a/1 x vlc;b/1 y vlc;c/1 z v;d/1 x lc;c/2 z lc", "c/2", ""},
		{"the emptiest failure domain", "a/1 x vlc;b/1 y vlc;c/1 z v;d/1 x lc;e/1 z lc", "e/1", ""},
		{"a dead learner stays", "a/1 x vlc;b/1 y vlc;c/1 z vlc;d/1 z ", "", ""},
	} {
		assert.Equal(t, nextStep(parse(c.members), 3), step{promote: c.promote, remove: c.remove}, c.what)
	}
}
