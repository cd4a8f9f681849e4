package docscheck

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"
)

// trouble is one entry of a day that is played against the system.
type trouble struct {
	Kind    string  `toml:"kind"`
	At      float64 `toml:"at"`
	For     float64 `toml:"for_s"`
	Gap     float64 `toml:"gap_s"`
	Share   float64 `toml:"share"`
	Count   int     `toml:"count"`
	X       float64 `toml:"x"`
	How     string  `toml:"how"`
	On      string  `toml:"on"`
	Service string  `toml:"service"`
	Class   string  `toml:"class"`
	Zone    string  `toml:"zone"`
}

type day struct {
	Name   string    `toml:"name"`
	Plan   []trouble `toml:"plan"`
	Faults []trouble `toml:"faults"`
}

// A day of our own that names a deployment's service or zone is left out everywhere else,
// and one with a field that nobody reads plays something other than it says.
func TestDaysOfOurOwnFitEveryDeployment(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join(root, "deploy", "days", "*.toml"))
	assert.NilError(t, err)
	assert.Assert(t, len(paths) > 0)
	for _, path := range paths {
		text, err := os.ReadFile(path)
		assert.NilError(t, err)
		assert.Assert(t, strings.HasPrefix(string(text), "# "), "%s doesn't say what it is for", path)
		var file struct {
			Days []day `toml:"day"`
		}
		decoder := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields()
		assert.NilError(t, decoder.Decode(&file), path)
		for _, d := range file.Days {
			assert.Assert(t, d.Name != "" && len(d.Faults) > 0, path)
			for _, e := range append(d.Plan, d.Faults...) {
				assert.Assert(t, e.Kind != "" && e.At > 0, "%s: %+v", path, e)
				for _, place := range []string{e.Service, e.Class, e.Zone} {
					assert.Assert(t, place == "" || strings.HasPrefix(place, "@"), "%s names %s", path, place)
				}
			}
		}
	}
}
