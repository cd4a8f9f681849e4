package quarantine

import (
	"flag"
	"os"
	"testing"
)

var seedsFlag = flag.Int("quarantine.seeds", 25, "seeds of each simulation")

func seeds() int { return *seedsFlag }

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(m.Run())
}
