package scenario

import "testing"

func TestScripts(t *testing.T) { Run(t, "testdata") }
