// Package examples tests that the annotated example settings files are valid.
package examples

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/agent"
	"github.com/snipereach/snipereach/control"
	"github.com/snipereach/snipereach/control/daemon"
	"github.com/snipereach/snipereach/entry"
	"github.com/snipereach/snipereach/gateway"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/load"
	"github.com/snipereach/snipereach/sidecar"
)

type settings interface{ Check() error }

func defaultSettings(file string) settings {
	switch file {
	case "entry.toml":
		return entry.DefaultSettings()
	case "agent.toml":
		return agent.DefaultSettings()
	case "control.toml":
		return daemon.DefaultSettings()
	case "gateway.toml":
		return gateway.DefaultSettings()
	case "sidecar.toml":
		return sidecar.DefaultSettings()
	case "load-auction.toml", "load-lift.toml":
		return load.DefaultSettings()
	}
	return nil
}

var (
	daemons   = []string{"entry.toml", "agent.toml", "control.toml", "gateway.toml", "sidecar.toml"}
	workloads = []string{"load-auction.toml", "load-lift.toml"}
)

func TestExamplesAreValid(t *testing.T) {
	for _, f := range append(append([]string(nil), daemons...), workloads...) {
		s := defaultSettings(f)
		assert.NilError(t, kernel.ReadSettings(f, s))
		assert.NilError(t, s.Check(), f)
	}
}

// A misspelt key must be an error that names the file, line and key; the default would
// otherwise be used silently.
func TestMisspeltKeyErrorNamesFileLineAndKey(t *testing.T) {
	keys := map[string][2]string{}
	for _, f := range daemons {
		keys[f] = [2]string{"cluster_secret", "cluster_sekret"}
	}
	for _, f := range workloads {
		keys[f] = [2]string{"max_in_flight", "max_in_flite"}
	}
	for f, key := range keys {
		text, err := os.ReadFile(f)
		assert.NilError(t, err)
		path := t.TempDir() + "/" + f
		misspelt := strings.Replace(string(text), key[0]+" =", key[1]+" =", 1)
		assert.NilError(t, os.WriteFile(path, []byte(misspelt), 0o600))
		err = kernel.ReadSettings(path, defaultSettings(f))
		assert.ErrorIs(t, err, kernel.ErrSettings)
		assert.ErrorContains(t, err, path)
		assert.ErrorContains(t, err, "unknown key "+strconv.Quote(key[1]))
		assert.ErrorContains(t, err, "line ")
	}
}

// A [control] section with only its required keys gets the defaults for the others.
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
