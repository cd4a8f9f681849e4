package quickstart

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/ctl"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/placement"
)

// rotatePlanner moves the experts of each rank to the next one whenever it plans.
type rotatePlanner struct{ shape placement.Shape }

func init() {
	kernel.Register(kernel.Module{ID: "placement.test-rotate", New: func() any { return &rotatePlanner{} }})
}

func (p *rotatePlanner) Reset(s placement.Shape, _ placement.Cost) { p.shape = s }

func (p *rotatePlanner) Observe(time.Time, placement.Load) {}

func (p *rotatePlanner) Plan(_ time.Time, m *placement.Map) placement.Decision {
	d := placement.Decision{Next: &placement.Map{}, Reason: "rotated by one rank", SkewBefore: 1.5, SkewAfter: 1.25}
	per := p.shape.Ranks * p.shape.Slots
	for layer := range p.shape.Layers {
		slots := m.Slots[layer*per : (layer+1)*per]
		d.Next.Slots = append(append(d.Next.Slots, slots[p.shape.Slots:]...), slots[:p.shape.Slots]...)
	}
	return d
}

// runCtl runs snipereachctl against one entry. It returns the exit code and the
// output, or the error output if the command failed.
func runCtl(t *testing.T, s *System, entry int, args ...string) (string, int) {
	t.Helper()
	var out, errOut bytes.Buffer
	server := []string{"--server", "http://" + s.Entries[entry].OperatorAddress(), "--key", OperatorKey, "-o", "tsv"}
	code := ctl.Main(append(server, args...), strings.NewReader(""), &out, &errOut)
	if code != 0 {
		return errOut.String(), code
	}
	return out.String(), code
}

// eventually waits for a condition longer than waitFor does, to allow for an
// election.
func eventually(t *testing.T, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatal("timed out waiting for a condition")
}

// groupColumns returns the columns that snipereachctl groups prints for the only
// group, or nil.
func groupColumns(t *testing.T, s *System, entry int) []string {
	out, code := runCtl(t, s, entry, "groups")
	if cols := strings.Split(strings.TrimSuffix(out, "\n"), "\t"); code == 0 && len(cols) == 7 {
		return cols
	}
	return nil
}

func epochOf(cols []string) uint64 {
	if cols == nil {
		return 0
	}
	n, _ := strconv.ParseUint(cols[1], 10, 64)
	return n
}

// leaderEntry returns the index of the entry whose control replica is the leader.
func leaderEntry(t *testing.T, s *System) int {
	out, _ := runCtl(t, s, 0, "status")
	for _, line := range strings.Split(out, "\n") {
		for i := range s.Entries {
			if strings.HasPrefix(line, fmt.Sprintf("entry-%d/", i+1)) && strings.Contains(line, "\tleader\t") {
				return i
			}
		}
	}
	t.Fatal("no leader: " + out)
	return 0
}

// If the entry with the leading control replica dies during a map switch, other
// entries must still serve, the next leader must complete the switch, no step may
// mix two maps, and the outcome must be in the operator's log.
func TestLeaderEntryDiesDuringMapSwitch(t *testing.T) {
	t.Parallel()
	s := startSystem(t, Options{Planner: "test-rotate"})
	var cols []string
	eventually(t, func() bool {
		cols = groupColumns(t, s, 0)
		return epochOf(cols) > 0 && strings.HasPrefix(cols[3], "switching")
	})
	before := epochOf(cols)
	state, _ := runCtl(t, s, leaderEntry(t, s), "dump")
	assert.Assert(t, strings.Contains(state, `"group": "`+GroupName+`"`), state)
	dead := leaderEntry(t, s)
	s.Entries[dead].Stop()
	other := (dead + 1) % 3
	assert.Equal(t, callEntry(s, other, "POST", "/v1/chat/completions", modelBody, nil).status, 200)
	eventually(t, func() bool { return epochOf(groupColumns(t, s, other)) > before })
	var out string
	eventually(t, func() bool {
		out, _ = runCtl(t, s, other, "groups", "log", GroupName)
		return strings.Contains(out, "\tin-force\t")
	})
	assert.Assert(t, strings.Contains(out, "1.500\t1.250\t0.00\t0.00\tplanner test-rotate\trotated by one rank"), out)
	h := s.Group.History()
	assert.Equal(t, h.MixedSteps, 0)
	assert.Assert(t, slices.IsSorted(h.Epochs) && h.Steps > 100, "%+v", h)
}

// Undo must pin the previous map and show who pinned it, unpin must let the planner
// continue, and impossible pins must be refused with the reason.
func TestOperatorUndoesAndUnpinsMap(t *testing.T) {
	t.Parallel()
	s := startSystem(t, Options{Planner: "test-rotate"})
	eventually(t, func() bool {
		out, _ := runCtl(t, s, 0, "groups", "log", GroupName)
		return strings.Contains(out, "in-force")
	})
	out, code := runCtl(t, s, 0, "groups", "undo", GroupName)
	assert.Equal(t, code, 0, out)
	eventually(t, func() bool {
		cols := groupColumns(t, s, 1)
		return cols != nil && strings.HasSuffix(cols[3], "by quickstart") && strings.HasPrefix(cols[3], "pinned")
	})
	out, code = runCtl(t, s, 0, "groups", "pin", "--epoch", "999999", GroupName)
	assert.Equal(t, code, kernel.ExitFailed)
	assert.Assert(t, strings.Contains(out, "map 999999 is not kept"), out)
	out, code = runCtl(t, s, 0, "groups", "pin", "nobody")
	assert.Equal(t, code, kernel.ExitFailed)
	assert.Assert(t, strings.Contains(out, "no group nobody has a map"), out)
	pinnedEpoch := epochOf(groupColumns(t, s, 0))
	out, code = runCtl(t, s, 2, "groups", "unpin", GroupName)
	assert.Equal(t, code, 0, out)
	eventually(t, func() bool { return epochOf(groupColumns(t, s, 0)) > pinnedEpoch })
	out, code = runCtl(t, s, 0, "groups", "ranks", GroupName)
	assert.Equal(t, code, 0, out)
	assert.Equal(t, strings.Count(out, "lm-"), 3, out)
	assert.Equal(t, s.Group.History().MixedSteps, 0)
}
