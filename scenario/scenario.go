// Package scenario is a small test language: scripts that start a user's system
// in process, break parts of it and the links between them, call it as callers
// and operators do, and say what must come of it. docs/design/scenario.md lists
// the commands.
//
// It stands on rogpeppe/go-internal/testscript. After the last line of each
// script the promises are checked for every call that it made; see audit.
package scenario

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/snipereach/snipereach/quickstart"
)

// MaxSystems is how many systems run side by side at most. Scripts wait far more
// than they work, so that this may be over the number of processors; many more
// starve each other, and elections follow.
const MaxSystems = 20

// patience bounds every wait for something that must come true. It is far over
// what any of it takes: it ends a run that hangs and asserts no duration.
const patience = 45 * time.Second

// poll is how often a wait looks.
const poll = 20 * time.Millisecond

// variables are what scripts call the parts of a user's layout by.
func variables(l quickstart.Layout) []string {
	return []string{
		"MODEL=" + l.ModelPool, "PLAIN=" + l.PlainPool,
		"MODEL_SERVICE=" + l.ModelService, "SERVICE=" + l.PlainService, "TEAM=" + l.Team,
		"HALL_A=" + l.Domains[0], "HALL_B=" + l.Domains[1], "HALL_C=" + l.Domains[2],
	}
}

// Run runs every script of a folder, for each user, as parallel subtests; the
// flag test.parallel bounds them.
func Run(t *testing.T, dir string) {
	scripts, err := filepath.Glob(filepath.Join(dir, "*.txt"))
	if err != nil || len(scripts) == 0 {
		t.Fatalf("no scripts in %s: %v", dir, err)
	}
	for _, s := range scripts {
		refuseForeign(t, s)
	}
	for user, layout := range map[string]quickstart.Layout{"idukki": quickstart.Idukki(), "karaganda": quickstart.Karaganda()} {
		t.Run(user, func(t *testing.T) {
			t.Parallel()
			testscript.Run(t, testscript.Params{Dir: dir, Cmds: commands(), Setup: setup(layout)})
		})
	}
}

// setup makes a script's world.
func setup(layout quickstart.Layout) func(*testscript.Env) error {
	return func(env *testscript.Env) error {
		w := newWorld(layout)
		env.Values[worldKey{}] = w
		env.Vars = append(env.Vars, variables(layout)...)
		env.Defer(w.stop)
		env.Defer(func() { w.audit(env.T()) })
		return nil
	}
}

// foreign are testscript's own commands that would end a script early with a
// pass, or start a process.
var foreign = map[string]bool{"stop": true, "skip": true, "kill": true, "wait": true, "exec": true}

func refuseForeign(t *testing.T, path string) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(string(text), "\n") {
		for _, word := range strings.Fields(line) {
			if strings.HasPrefix(word, "#") {
				break
			}
			if strings.HasPrefix(word, "[") || word == "!" {
				continue
			}
			if foreign[word] {
				t.Fatalf("%s: %q belongs to testscript and is not used here: %s", path, word, line)
			}
			break
		}
	}
}
