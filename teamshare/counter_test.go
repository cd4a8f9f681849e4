package teamshare

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

var start = time.Unix(1_000_000, 0)

// find returns the counts of a team in a list.
func find(list []Demand, team string) (sum Demand) {
	for _, d := range list {
		if d.Team == team {
			sum.add(d)
		}
	}
	return sum
}

// Guards against counts that outlive the span, also after a time without requests.
func TestCounterForgetsOldWindows(t *testing.T) {
	var c Counter
	c.Arrived(start, "a", 0)
	c.Refused(start, "a", 0, "busy")
	c.Arrived(start.Add(2*time.Second), "a", 1)
	c.Admitted(start.Add(2*time.Second), "a", 1)
	assert.DeepEqual(t, c.Recent(start.Add(4*time.Second)), []Demand{
		{Team: "a", Priority: 0, Arrived: 1, Refused: 1, Causes: []CauseCount{{"busy", 1}}},
		{Team: "a", Priority: 1, Arrived: 1, Admitted: 1},
	})
	assert.DeepEqual(t, c.Recent(start.Add(5*time.Second)), []Demand{{Team: "a", Priority: 1, Arrived: 1, Admitted: 1}})
	assert.Equal(t, len(c.Recent(start.Add(time.Hour))), 0)
	c.Arrived(start.Add(time.Hour), "a", 0)
	assert.Equal(t, find(c.Recent(start.Add(time.Hour)), "a").Arrived, uint32(1))
}

// Guards against a report that changes while it is sent, as counting goes on.
func TestRecentIsACopy(t *testing.T) {
	var c Counter
	c.Refused(start, "a", 0, "busy")
	list := c.Recent(start)
	c.Refused(start, "a", 0, "busy")
	assert.Equal(t, list[0].Causes[0].Count, uint32(1))
}

// Guards against memory and reports that grow with the number of teams, priorities and causes, and against
// overlooking the most demanding team among many.
func TestCounterIsBounded(t *testing.T) {
	var c Counter
	const teams = 10_000
	for second := range windows {
		now := start.Add(time.Duration(second) * time.Second)
		for i := range teams {
			c.Arrived(now, fmt.Sprint("team-", second, "-", i), uint32(i))
			c.Refused(now, "many", uint32(i), fmt.Sprint("cause-", i))
			if i%10 == 0 {
				c.Arrived(now, "flood", 1)
			}
		}
	}
	now := start.Add((windows - 1) * time.Second)
	for i := range c.ring {
		assert.Assert(t, len(c.ring[i].sums.byTeam) <= MaxTeams+1)
		for _, list := range c.ring[i].sums.byTeam {
			assert.Assert(t, len(list) <= maxPriorities)
		}
	}
	list := c.Recent(now)
	report := &wire.DemandReport{Gateway: "g", Service: "s", Teams: ToWire(list)}
	assert.NilError(t, Check(report), "the replica refuses the report")
	assert.Equal(t, find(list, "flood").Arrived, uint32(windows*teams/10))
	sum := uint32(0)
	for _, d := range list {
		sum += d.Arrived
	}
	assert.Equal(t, sum, uint32(windows*(teams+teams/10)), "requests are lost from the counts")
}

// Guards against counting that costs requests more than a look-up: without contention it is all that the
// feature does.
func BenchmarkArrivedAndAdmitted(b *testing.B) {
	n := NewNode(Options{Now: time.Now})
	b.ReportAllocs()
	for b.Loop() {
		n.Arrived("s", "team", 1)
		n.Over("s", "team")
		n.Admitted("s", "team", 1)
	}
}

// Guards against allocations for each request.
func TestCountingAllocatesNothing(t *testing.T) {
	n := NewNode(Options{Now: func() time.Time { return start }})
	allocs := testing.AllocsPerRun(1000, func() {
		n.Arrived("s", "team", 1)
		n.Over("s", "team")
		n.Admitted("s", "team", 1)
	})
	assert.Equal(t, allocs, 0.0)
}

// Guards against a team with a long name for which replicas refuse all reports of a service.
func TestLongTeamNameDoesNotInvalidateReports(t *testing.T) {
	var c Counter
	c.Arrived(start, strings.Repeat("x", maxNameBytes+1), 0)
	c.Arrived(start, "a", 0)
	list := c.Recent(start)
	assert.NilError(t, Check(&wire.DemandReport{Gateway: "g", Service: "s", Teams: ToWire(list)}))
	assert.DeepEqual(t, list, []Demand{{Team: OtherTeams, Arrived: 1}, {Team: "a", Arrived: 1}})
}
