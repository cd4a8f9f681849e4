// Package examples tests that the annotated settings files are valid.
package examples

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/agent"
	"github.com/snipereach/snipereach/control"
	"github.com/snipereach/snipereach/entry"
	"github.com/snipereach/snipereach/kernel"
)

type settings interface{ Check() error }

func load(file string) settings {
	switch file {
	case "entry.toml":
		return entry.DefaultSettings()
	case "agent.toml":
		return agent.DefaultSettings()
	case "control.toml":
		return control.DefaultDaemonSettings()
	}
	return nil
}

var files = []string{"entry.toml", "agent.toml", "control.toml"}

func TestExamplesAreValid(t *testing.T) {
	for _, f := range files {
		s := load(f)
		assert.NilError(t, kernel.ReadSettings(f, s))
		assert.NilError(t, s.Check(), f)
	}
}

// A misspelt key is an error that names file, line and key: a default would
// otherwise stay in force without a word.
func TestMisspeltKeyIsNamed(t *testing.T) {
	for _, f := range files {
		text, err := os.ReadFile(f)
		assert.NilError(t, err)
		path := t.TempDir() + "/" + f
		wrong := strings.Replace(string(text), "cluster_secret =", "cluster_sekret =", 1)
		assert.NilError(t, os.WriteFile(path, []byte(wrong), 0o600))
		err = kernel.ReadSettings(path, load(f))
		assert.ErrorIs(t, err, kernel.ErrSettings)
		assert.ErrorContains(t, err, path)
		assert.ErrorContains(t, err, `unknown key "cluster_sekret"`)
		assert.ErrorContains(t, err, "line ")
	}
}

// An entry's file has a [control] section with no more than it needs. The rest
// takes its defaults, as the annotated file says.
func TestControlSectionTakesDefaults(t *testing.T) {
	path := t.TempDir() + "/entry.toml"
	text := `id = "entry-1"
failure_domain = "hall-a"
[control]
data_dir = "/var/lib/snipereach"
members = ["127.0.0.1:7001"]
`
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	s := entry.DefaultSettings()
	assert.NilError(t, kernel.ReadSettings(path, s))
	assert.NilError(t, s.Check())
	want := control.DefaultSettings()
	want.DataDir, want.Members = s.Control.DataDir, s.Control.Members
	assert.DeepEqual(t, *s.Control, want)
}
