package scenario

import (
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/rogpeppe/go-internal/testscript"
)

// command implements a script command; neg is set if it is preceded by "!".
type command func(w *world, neg bool, args []string) error

// commands returns the script commands by name; docs/design/scenario.md describes
// each.
func commands() map[string]func(*testscript.TestScript, bool, []string) {
	list := map[string]command{
		"system": (*world).cmdSystem,
		// Parts.
		"crash":     forEachPart((*world).killPart),
		"start":     forEachPart((*world).startPart),
		"drain":     forEachPart((*world).beginDrain),
		"drained":   forEachPart((*world).waitDrained),
		"freeze":    forEachPart((*world).freezePart),
		"thaw":      forEachPart((*world).thawPart),
		"lose-disk": forEachPart(func(w *world, p string) error { return w.sys.WipeDisk(p) }),
		"name":      (*world).cmdName,
		// Links and upstreams.
		"cut":     (*world).cmdCut,
		"heal":    (*world).cmdHeal,
		"delay":   (*world).cmdDelay,
		"dials":   (*world).cmdDials,
		"answers": (*world).cmdAnswers,
		"release": forEachPart((*world).releaseUpstream),
		// Groups.
		"maps":         (*world).cmdMaps,
		"steps":        (*world).cmdSteps,
		"restart-rank": (*world).cmdRestartRank,
		"judged":       (*world).cmdJudged,
		// Callers.
		"call":       withID((*world).startCall),
		"calls":      (*world).cmdCalls,
		"insist":     withID((*world).callUntilAnswered),
		"leave":      withID(func(w *world, id string, _ options) error { return w.disconnectCaller(id) }),
		"expect":     withID((*world).cmdExpect),
		"expect-all": withID((*world).cmdExpectAll),
		"exactly":    (*world).cmdExactly,
		"explain":    withID((*world).checkExplanation),
		"runs":       (*world).cmdRuns,
		"runs-all":   (*world).cmdRunsAll,
		"idle":       forEachPart((*world).waitUpstreamIdle),
		"closed":     forEachPart((*world).waitListenerClosed),
		"listed":     (*world).cmdListed,
		"upstreams":  (*world).cmdUpstreams,
		"granting":   forEachPart((*world).waitGranting),
		// Operators.
		"edit":     withID((*world).startEdit),
		"edits":    (*world).cmdEdits,
		"in-force": withID(func(w *world, id string, _ options) error { return w.waitInForce(id) }),
		"row":      (*world).cmdRow,
		"health":   (*world).cmdHealth,
		"leader":   (*world).cmdLeader,
	}
	out := map[string]func(*testscript.TestScript, bool, []string){}
	for name, f := range list {
		out[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			w := worldOf(ts)
			err := error(nil)
			switch {
			case neg && !mayNegate[name]:
				err = merry.Prependf(ErrScript, "%s can't be negated", name)
			case w.sys == nil && name != "system":
				err = merry.Prepend(ErrScript, "system must be the first command")
			default:
				err = f(w, neg, args)
			}
			if err != nil {
				ts.Fatalf("%s %s: %v", name, strings.Join(args, " "), err)
			}
		}
	}
	return out
}

var mayNegate = map[string]bool{"listed": true, "leader": true, "row": true}

// forEachPart returns a command that calls f for each part named by its arguments.
func forEachPart(f func(*world, string) error) command {
	return func(w *world, _ bool, args []string) error {
		parts, err := w.expandParts(args...)
		if err != nil {
			return err
		}
		for _, p := range parts {
			if err := f(w, p); err != nil {
				return err
			}
		}
		return nil
	}
}

// withID returns a command whose first argument is an ID.
func withID(f func(*world, string, options) error) command {
	return func(w *world, _ bool, args []string) error {
		if len(args) == 0 {
			return merry.Prepend(ErrScript, "ID is missing")
		}
		return f(w, args[0], parseOptions(args[1:]))
	}
}

func (w *world) cmdSystem(_ bool, args []string) error { return w.startSystem(parseOptions(args)) }
