// Command settingsdoc writes docs/operations/settings.md from the settings
// structs (keys, types, defaults) and the annotated example files (meanings).
// Run it with go generate ./internal/settingsdoc.
package main

import (
	"fmt"
	"os"

	"github.com/snipereach/snipereach/agent"
	"github.com/snipereach/snipereach/control"
	"github.com/snipereach/snipereach/entry"
)

//go:generate go run .

// Paths are relative to this folder, where go generate and go test run.
const (
	examples = "../../examples/"
	page     = "../../docs/operations/settings.md"
)

// program is one program with settings.
type program struct {
	name, file string
	settings   any
}

// programs lists all, with their defaults; an entry's own replica included.
func programs() []program {
	e := entry.DefaultSettings()
	replica := control.DefaultSettings()
	e.Control = &replica
	return []program{
		{"snipereach-entry", "entry.toml", e},
		{"snipereach-agent", "agent.toml", agent.DefaultSettings()},
		{"snipereach-control", "control.toml", control.DefaultDaemonSettings()},
	}
}

func main() {
	text, err := render(programs())
	if err == nil {
		err = os.WriteFile(page, []byte(text), 0o644)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "settingsdoc:", err)
		os.Exit(1)
	}
}
