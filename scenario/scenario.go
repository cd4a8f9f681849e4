// Package scenario runs fault-injection scripts. A script starts a whole system
// in process, injects faults into its parts and the links between them, sends
// requests as callers and operators do, and states the expected results.
// docs/design/scenario.md lists the commands.
//
// The scripts run on rogpeppe/go-internal/testscript. After the last line of a
// script, the system's invariants are checked for every call it made; see audit.
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

// MaxSystems limits the systems that run in parallel. Scripts mostly wait, so it
// may exceed the number of processors; with many more, systems starve each other
// and lose their leaders to election timeouts.
const MaxSystems = 20

// waitTimeout bounds every wait for a condition. It only ends runs that hang;
// it asserts nothing about how long an operation may take.
const waitTimeout = 45 * time.Second

// pollInterval is the time between two checks of a condition.
const pollInterval = 20 * time.Millisecond

// scriptVariables returns the environment variables by which scripts refer to the
// names in a layout.
func scriptVariables(l quickstart.Layout) []string {
	return []string{
		"MODEL=" + l.ModelPool, "PLAIN=" + l.PlainPool,
		"MODEL_SERVICE=" + l.ModelService, "SERVICE=" + l.PlainService, "TEAM=" + l.Team,
		"HALL_A=" + l.Domains[0], "HALL_B=" + l.Domains[1], "HALL_C=" + l.Domains[2],
	}
}

// Run runs every script in dir against each user's layout, as parallel subtests
// bounded by the flag test.parallel.
func Run(t *testing.T, dir string) {
	scripts, err := filepath.Glob(filepath.Join(dir, "*.txt"))
	if err != nil || len(scripts) == 0 {
		t.Fatalf("no scripts in %s: %v", dir, err)
	}
	for _, s := range scripts {
		rejectForbiddenCommands(t, s)
	}
	for user, layout := range map[string]quickstart.Layout{"idukki": quickstart.Idukki(), "karaganda": quickstart.Karaganda()} {
		t.Run(user, func(t *testing.T) {
			t.Parallel()
			testscript.Run(t, testscript.Params{Dir: dir, Cmds: commands(), Setup: setupWorld(layout)})
		})
	}
}

// setupWorld returns the function that gives each script its own world, audited
// and stopped when the script ends.
func setupWorld(layout quickstart.Layout) func(*testscript.Env) error {
	return func(env *testscript.Env) error {
		w := newWorld(layout)
		env.Values[worldKey{}] = w
		env.Vars = append(env.Vars, scriptVariables(layout)...)
		env.Defer(w.stop)
		env.Defer(func() { w.audit(env.T()) })
		return nil
	}
}

// forbiddenCommands are built-in testscript commands that would end a script
// early with a pass, or start a process.
var forbiddenCommands = map[string]bool{"stop": true, "skip": true, "kill": true, "wait": true, "exec": true}

func rejectForbiddenCommands(t *testing.T, path string) {
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
			if forbiddenCommands[word] {
				t.Fatalf("%s: testscript command %q is not allowed in scenario scripts: %s", path, word, line)
			}
			break
		}
	}
}
