package scenario

import (
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/rogpeppe/go-internal/testscript"
)

// command is one command of the language.
type command func(w *world, neg bool, args []string) error

// commands lists the language; docs/design/scenario.md says what each does.
func commands() map[string]func(*testscript.TestScript, bool, []string) {
	list := map[string]command{
		"system": (*world).cmdSystem,
		// Parts.
		"crash":     each((*world).crash),
		"start":     each((*world).startPart),
		"drain":     each((*world).drain),
		"drained":   each((*world).drained),
		"freeze":    each((*world).freeze),
		"thaw":      each((*world).thaw),
		"lose-disk": each(func(w *world, p string) error { return w.sys.LoseDisk(p) }),
		"name":      (*world).cmdName,
		// Links and upstreams.
		"cut":     (*world).cmdCut,
		"heal":    (*world).cmdHeal,
		"delay":   (*world).cmdDelay,
		"dials":   (*world).cmdDials,
		"answers": (*world).cmdAnswers,
		"release": each((*world).release),
		// Groups.
		"maps":         (*world).cmdMaps,
		"steps":        (*world).cmdSteps,
		"restart-rank": (*world).cmdRestartRank,
		"judged":       (*world).cmdJudged,
		// Callers.
		"call":       withID((*world).call),
		"calls":      (*world).cmdCalls,
		"insist":     withID((*world).insist),
		"leave":      withID(func(w *world, id string, _ options) error { return w.leave(id) }),
		"expect":     withID((*world).cmdExpect),
		"expect-all": withID((*world).cmdExpectAll),
		"exactly":    (*world).cmdExactly,
		"explain":    withID((*world).explain),
		"runs":       (*world).cmdRuns,
		"runs-all":   (*world).cmdRunsAll,
		"idle":       each((*world).idle),
		"closed":     each((*world).closed),
		"listed":     (*world).cmdListed,
		"upstreams":  (*world).cmdUpstreams,
		"granting":   each((*world).granting),
		// Operators.
		"edit":     withID((*world).edit),
		"edits":    (*world).cmdEdits,
		"in-force": withID(func(w *world, id string, _ options) error { return w.inForce(id) }),
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
				err = merry.Prependf(ErrScript, "! has no meaning before %s", name)
			case w.sys == nil && name != "system":
				err = merry.Prepend(ErrScript, "system comes first")
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

// each makes a command that does one thing to each part that it names.
func each(f func(*world, string) error) command {
	return func(w *world, _ bool, args []string) error {
		parts, err := w.expand(args...)
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

// withID makes a command whose first word is an ID.
func withID(f func(*world, string, options) error) command {
	return func(w *world, _ bool, args []string) error {
		if len(args) == 0 {
			return merry.Prepend(ErrScript, "an ID is needed")
		}
		return f(w, args[0], parse(args[1:]))
	}
}

func (w *world) cmdSystem(_ bool, args []string) error { return w.start(parse(args)) }
