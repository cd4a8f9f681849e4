// Command settingsdoc generates docs/operations/settings.md from the settings structs
// (keys, types, defaults) and the comments of the example files (meanings). Run it
// with go generate ./internal/settingsdoc.
package main

import (
	"fmt"
	"os"

	"github.com/snipereach/snipereach/agent"
	"github.com/snipereach/snipereach/control"
	"github.com/snipereach/snipereach/control/daemon"
	"github.com/snipereach/snipereach/entry"
	"github.com/snipereach/snipereach/gateway"
	"github.com/snipereach/snipereach/lockstep/leader"
	"github.com/snipereach/snipereach/sidecar"
)

//go:generate go run .

// Paths are relative to this folder, where go generate and go test run.
const (
	examplesDir = "../../examples/"
	pagePath    = "../../docs/operations/settings.md"
)

// program is a program with its example file and default settings.
type program struct {
	name, file string
	settings   any
}

// programs returns all programs with default settings. Their optional sections, such
// as the control replica of an entry, are filled in.
func programs() []program {
	e := entry.DefaultSettings()
	replica := control.DefaultSettings()
	e.Control = &replica
	c := daemon.DefaultSettings()
	c.Control.Tolerate = &control.Tolerance{}
	c.Control.Lockstep = &leader.Settings{}
	c.API = &daemon.APISettings{}
	c.SetDefaults()
	return []program{
		{"snipereach-entry", "entry.toml", e},
		{"snipereach-agent", "agent.toml", agent.DefaultSettings()},
		{"snipereach-control", "control.toml", c},
		{"snipereach-gateway", "gateway.toml", gateway.DefaultSettings()},
		{"snipereach-sidecar", "sidecar.toml", sidecar.DefaultSettings()},
	}
}

func main() {
	text, err := render(programs())
	if err == nil {
		err = os.WriteFile(pagePath, []byte(text), 0o644)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "settingsdoc:", err)
		os.Exit(1)
	}
}
