package main

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"
)

// Errors of mismatches between settings structs and example files.
var (
	errMissingComment = errors.New("example file has no comment for the key")
	errUnknownKey     = errors.New("example file has an unknown key")
)

const pageHeader = `# Settings

Each program reads one TOML file (` + "`--config FILE`" + `). An unknown key is an error that names
the file, the line and the key; ` + "`--check-config`" + ` checks a file and changes nothing. Durations
are written "250ms", "5s", "10m"; addresses are IP:port. The annotated files in
` + "`examples/`" + ` hold the same explanations beside values to start from.

This page is written from the code and those files by ` + "`go generate ./internal/settingsdoc`" + `.
`

func render(list []program) (string, error) {
	var b strings.Builder
	b.WriteString(pageHeader)
	for _, p := range list {
		text, err := os.ReadFile(examplesDir + p.file)
		if err != nil {
			return "", err
		}
		if err := renderProgram(&b, p, parseExample(string(text))); err != nil {
			return "", fmt.Errorf("%s: %w", p.file, err)
		}
	}
	return b.String(), nil
}

func renderProgram(b *strings.Builder, p program, m meanings) error {
	fmt.Fprintf(b, "\n## %s\n", p.name)
	known := map[string]bool{}
	section := "?"
	for _, k := range keysOf(reflect.ValueOf(p.settings).Elem(), "") {
		id := k.section + "." + k.name
		known[id] = true
		if m.keys[id] == "" {
			return fmt.Errorf("%w: %s", errMissingComment, id)
		}
		if k.section != section {
			section = k.section
			renderSection(b, section, m)
		}
		fmt.Fprintf(b, "| `%s` | %s | `%s` | %s |\n", k.name, k.typeName, k.defaultText, m.keys[id])
	}
	for _, id := range m.order {
		if !known[id] {
			return fmt.Errorf("%w: %s", errUnknownKey, id)
		}
	}
	return nil
}

func renderSection(b *strings.Builder, section string, m meanings) {
	if section != "" {
		fmt.Fprintf(b, "\n### %s\n\n%s\n", m.headers[section], m.sections[section])
	}
	b.WriteString("\n| key | type | default | meaning |\n| --- | --- | --- | --- |\n")
}
