package scenario

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("test.parallel", strconv.Itoa(MaxSystems))
	os.Exit(m.Run())
}

func TestScripts(t *testing.T) { Run(t, "testdata") }
