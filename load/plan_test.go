package load

import (
	"math"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/kernel"
)

func testSettings() *Settings {
	s := DefaultSettings()
	s.Entries = []string{"127.0.0.1:1"}
	s.Team = []Team{{Name: "one", Key: "k1"}, {Name: "two", Key: "k2"}}
	s.Class = []Class{
		{Name: "signals", Kind: KindPlain, Target: "clock", Path: "/lots/{n}", Rate: 30, Teams: []string{"two"}, Keys: true, Resends: 2},
		{Name: "texts", Kind: KindEngine, Target: "lm", Rate: 10, Idempotent: true, MinTokens: 2, MaxTokens: 5, Prefixes: 3, PrefixChars: 100},
	}
	return s
}

func TestFactorInterpolatesLinearly(t *testing.T) {
	day := []DayPoint{{0.2, 1}, {0.4, 3}, {0.4, 0.5}, {0.8, 0.5}}
	for at, want := range map[float64]float64{0: 1, 0.2: 1, 0.3: 2, 0.4: 0.5, 0.6: 0.5, 0.9: 0.5, 1: 0.5} {
		assert.Assert(t, math.Abs(DayFactor(day, at)-want) < 1e-9, "at %g: %g", at, DayFactor(day, at))
	}
	assert.Equal(t, DayFactor(nil, 0.5), 1.0)
}

// A plan follows the rates, load curve, teams and ranges of the settings, and is
// deterministic.
func TestPlanMatchesSettings(t *testing.T) {
	s := testSettings()
	s.Duration = kernel.Duration(1000 * time.Second)
	s.Day = []DayPoint{{0, 0}, {0.5, 0}, {0.5, 2}, {1, 2}}
	assert.NilError(t, s.Check())
	p, again := NewPlan(s), NewPlan(s)
	count := map[string]int{}
	last := time.Duration(0)
	for {
		a, ok := p.Next()
		b, _ := again.Next()
		assert.Equal(t, a, b)
		if !ok {
			break
		}
		assert.Assert(t, a.Due >= last && a.Due >= 500*time.Second && a.Due < 1000*time.Second)
		last = a.Due
		count[a.Class.Name]++
		count[a.Team.Name]++
		if a.Class.Name == "signals" {
			assert.Equal(t, a.Team.Name, "two")
			continue
		}
		assert.Assert(t, a.Tokens >= 2 && a.Tokens <= 5 && a.Prefix >= 0 && a.Prefix < 3)
	}
	// 500 s at twice the rates. 870 and 500 are five standard deviations.
	assert.Assert(t, math.Abs(float64(count["signals"])-30_000) < 870, "%v", count)
	assert.Assert(t, math.Abs(float64(count["texts"])-10_000) < 500, "%v", count)
	assert.Assert(t, math.Abs(float64(count["one"])-5_000) < 400, "%v", count)
}

// The error for an invalid workload names the file and the key, and the line of
// unknown keys and undecodable values.
func TestInvalidWorkloadErrorNamesFileLineAndKey(t *testing.T) {
	text, err := os.ReadFile("../examples/load-auction.toml")
	assert.NilError(t, err)
	for _, c := range []struct{ old, new, want string }{
		{"rate = 40", "rat = 40", `line LINE: unknown key "class.rat"`},
		{"rate = 40", `rate = "fast"`, `line LINE: key "class.rate"`},
		{"rate = 40", "rate = -1", `key "class.rate"`},
		{`duration = "30s"`, `duration = "30"`, `line LINE: key "duration"`},
		{`duration = "30s"`, `duration = "-3s"`, `key "duration"`},
		{`entries = ["127.0.0.1:8080"]`, `entries = []`, `key "entries"`},
		{`kind = "plain"`, `kind = "odd"`, `key "class.kind"`},
		{`teams = ["growers"]`, `teams = ["nobody"]`, `key "class.teams"`},
		{"keys = true", "keys = false", `key "class.resends"`},
		{"at = 0.4", "at = 0.9", `key "day.at"`},
		{`check = "echo"`, `check = "maybe"`, `key "class.check"`},
		{`path = "/lots`, `path = "lots`, `key "class.path"`},
		{`listen = "127.0.0.1:9001"`, `listen = "0.0.0.0:9001"`, `key "fakes.listen"`},
	} {
		path := filepath.Join(t.TempDir(), "work.toml")
		changed := strings.Replace(string(text), c.old, c.new, 1)
		assert.Assert(t, changed != string(text), c.old)
		assert.NilError(t, os.WriteFile(path, []byte(changed), 0o600))
		_, err := ReadWorkload(path)
		assert.ErrorIs(t, err, kernel.ErrSettings, c.new)
		assert.ErrorContains(t, err, path)
		line := 1 + strings.Count(string(text[:strings.Index(string(text), c.old)]), "\n")
		assert.ErrorContains(t, err, strings.Replace(c.want, "LINE", strconv.Itoa(line), 1))
	}
}

func TestRunnerRejectsNonLoopbackEntries(t *testing.T) {
	s := testSettings()
	s.Entries = []string{"192.0.2.1:80"}
	assert.NilError(t, s.Check())
	_, err := NewRunner(s, Options{})
	assert.ErrorIs(t, err, ErrNotLoopback)
	_, err = NewRunner(s, Options{AnyAddress: true})
	assert.NilError(t, err)
	for address, ok := range map[string]bool{"127.0.0.1:1": true, "[::1]:1": true, "localhost:1": false, "10.0.0.1:1": false, "": false} {
		assert.Equal(t, CheckLoopback(address) == nil, ok, address)
	}
}
