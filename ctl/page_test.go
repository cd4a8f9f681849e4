package ctl_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/ctl"
	"github.com/snipereach/snipereach/quickstart"
)

// The commands on the documentation page of the table must work in their order as
// printed, and those marked as refused must be refused.
func TestCommandsOfTableDocumentation(t *testing.T) {
	page, err := os.ReadFile("../docs/operations/table.md")
	assert.NilError(t, err)
	s := start(t, quickstart.Options{})
	dir := t.TempDir()
	n := 0
	for line := range strings.SplitSeq(string(page), "\n") {
		text, ok := strings.CutPrefix(line, "    snipereachctl ")
		if !ok {
			continue
		}
		n++
		text, comment, _ := strings.Cut(text, " # ")
		text, file, _ := strings.Cut(text, " > ")
		args := append([]string{"--server", "http://" + s.Entries[0].OperatorAddress(), "--key", quickstart.OperatorKey}, strings.Fields(text)...)
		for i, a := range args {
			if strings.HasSuffix(a, ".tsv") {
				args[i] = filepath.Join(dir, a)
			}
		}
		var out, errs bytes.Buffer
		code := ctl.Main(args, strings.NewReader(""), &out, &errs)
		assert.Equal(t, code != 0, comment == "refused", "%s: %s", line, errs.String())
		if file != "" {
			assert.NilError(t, os.WriteFile(filepath.Join(dir, file), out.Bytes(), 0o600))
		}
	}
	assert.Assert(t, n > 10)
}
