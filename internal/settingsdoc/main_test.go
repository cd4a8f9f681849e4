package main

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestSettingsPageIsCurrent(t *testing.T) {
	want, err := render(programs())
	assert.NilError(t, err)
	got, err := os.ReadFile(pagePath)
	assert.NilError(t, err)
	assert.Assert(t, string(got) == want, "run go generate ./internal/settingsdoc")
}

// A key missing from the example file, one without a comment and one that is not a
// setting must be errors.
func TestExampleAndStructKeysMustAgree(t *testing.T) {
	p := programs()[1]
	text, err := os.ReadFile(examplesDir + p.file)
	assert.NilError(t, err)
	var b strings.Builder
	assert.NilError(t, renderProgram(&b, p, parseExample(string(text))))
	missingKey := strings.Replace(string(text), "max_queue = 64\n", "", 1)
	assert.ErrorIs(t, renderProgram(&b, p, parseExample(missingKey)), errMissingComment)
	missingComment := strings.Replace(string(text), "# How often the upstream is announced.\n", "", 1)
	assert.ErrorIs(t, renderProgram(&b, p, parseExample(missingComment)), errMissingComment)
	unknownKey := strings.Replace(string(text), "max_queue = 64\n", "max_queue = 64\nmax_quuuee = 64\n", 1)
	assert.ErrorIs(t, renderProgram(&b, p, parseExample(unknownKey)), errUnknownKey)
}
