package docscheck

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"
)

// event is one entry of a day file, a scripted run of load and faults.
type event struct {
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

// closing is the fault at the end of a day.
type closing struct {
	Kind string  `toml:"kind"`
	Down float64 `toml:"down_s"`
	How  string  `toml:"how"`
}

type day struct {
	Name    string   `toml:"name"`
	Plan    []event  `toml:"plan"`
	Faults  []event  `toml:"faults"`
	Closing *closing `toml:"closing"`
}

// The day files must not name the services or zones of one deployment, since others
// would skip them, and must not have unknown fields, which would be ignored.
func TestDayFilesFitEveryDeployment(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join(root, "deploy", "days", "*.toml"))
	assert.NilError(t, err)
	assert.Assert(t, len(paths) > 0)
	for _, path := range paths {
		text, err := os.ReadFile(path)
		assert.NilError(t, err)
		assert.Assert(t, strings.HasPrefix(string(text), "# "), "%s doesn't start with a comment on its purpose", path)
		var file struct {
			Days []day `toml:"day"`
		}
		decoder := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields()
		assert.NilError(t, decoder.Decode(&file), path)
		for _, d := range file.Days {
			assert.Assert(t, d.Name != "" && len(d.Faults) > 0, path)
			assert.Assert(t, d.Closing == nil || d.Closing.Kind != "", path)
			for _, e := range append(d.Plan, d.Faults...) {
				assert.Assert(t, e.Kind != "" && e.At > 0, "%s: %+v", path, e)
				for _, name := range []string{e.Service, e.Class, e.Zone} {
					assert.Assert(t, name == "" || strings.HasPrefix(name, "@"), "%s names %s", path, name)
				}
			}
		}
	}
}
