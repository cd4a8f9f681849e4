package main

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestPageIsCurrent(t *testing.T) {
	want, err := render(programs())
	assert.NilError(t, err)
	got, err := os.ReadFile(page)
	assert.NilError(t, err)
	assert.Assert(t, string(got) == want, "run go generate ./internal/settingsdoc")
}

// A key that the example forgets, and one that is no setting any more, are
// errors: an operator would look for them in vain.
func TestExamplesAndStructsMustAgree(t *testing.T) {
	p := programs()[1]
	text, err := os.ReadFile(examples + p.file)
	assert.NilError(t, err)
	var b strings.Builder
	assert.NilError(t, renderProgram(&b, p, readMeanings(string(text))))
	without := strings.Replace(string(text), "max_queue = 64\n", "", 1)
	assert.ErrorIs(t, renderProgram(&b, p, readMeanings(without)), errNoMeaning)
	bare := strings.Replace(string(text), "# How often the upstream is announced.\n", "", 1)
	assert.ErrorIs(t, renderProgram(&b, p, readMeanings(bare)), errNoMeaning)
	more := strings.Replace(string(text), "max_queue = 64\n", "max_queue = 64\nmax_quuuee = 64\n", 1)
	assert.ErrorIs(t, renderProgram(&b, p, readMeanings(more)), errNoKey)
}
