package teamshare

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

// clock is a clock that tests set.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func (c *clock) pass(d time.Duration) { c.at = c.at.Add(d) }

func reportOf(gateway string, list ...Demand) *wire.DemandReport {
	return &wire.DemandReport{Gateway: gateway, Service: "s", SpanMs: 5000, Teams: ToWire(list)}
}

func mustReport(t *testing.T, c *Collector, r *wire.DemandReport) *wire.DemandTotals {
	t.Helper()
	totals, err := c.Report(r)
	assert.NilError(t, err)
	return totals
}

// Guards against counting a gateway twice, or one that has ended or no longer reports.
func TestCollectorSumsLatestReports(t *testing.T) {
	at := &clock{start}
	c := NewCollector(at.now)
	mustReport(t, c, reportOf("g1", demandOf("a", 10, 5)))
	at.pass(time.Second)
	mustReport(t, c, reportOf("g1", demandOf("a", 20, 6)))
	at.pass(time.Second)
	totals := mustReport(t, c, reportOf("g2", demandOf("a", 1, 1), demandOf("b", 2, 2)))
	assert.DeepEqual(t, FromWire(totals.Teams), []Demand{demandOf("a", 21, 7), demandOf("b", 2, 2)})
	assert.Equal(t, totals.Gateways, uint32(2))
	assert.Equal(t, totals.AgeMs, uint32(1000))
	at.pass(reportLifetime - time.Second)
	list := c.List()
	assert.Equal(t, len(list), 1)
	assert.DeepEqual(t, FromWire(list[0].Teams), []Demand{demandOf("a", 1, 1), demandOf("b", 2, 2)})
	at.pass(time.Second)
	assert.Equal(t, len(c.List()), 0, "a service that isn't contended any more is listed")
	assert.Equal(t, c.reports+c.counts, 0)
}

// Guards against a replica whose memory grows with the teams, gateways and services: with more reports than
// any cluster sends, all as large as allowed, and while they expire.
func TestCollectorIsBounded(t *testing.T) {
	at := &clock{start}
	c := NewCollector(at.now)
	full := make([]Demand, MaxTeams)
	for i := range full {
		full[i] = demandOf(fmt.Sprint("team-", i), 1, 1)
	}
	full[7].Arrived = 1000
	refused := 0
	for i := range maxReports + 100 {
		r := reportOf(fmt.Sprint("g", i/10), full...)
		r.Service = fmt.Sprint("s", i%10)
		if _, err := c.Report(r); err != nil {
			assert.ErrorIs(t, err, ErrTooManyReports)
			refused++
		}
		assert.Assert(t, c.counts <= maxCounts+(minTeamsPerReport+1)*maxReports, "%d counts", c.counts)
	}
	assert.Equal(t, refused, 100)
	assert.Equal(t, c.reports, maxReports)
	for _, totals := range c.List() {
		assert.Assert(t, len(totals.Teams) <= MaxTeams+1)
		assert.Equal(t, find(FromWire(totals.Teams), "team-7").Arrived, 1000*totals.Gateways, "the most demanding team isn't counted by itself")
	}
	at.pass(reportLifetime)
	mustReport(t, c, reportOf("g", full...))
	assert.Equal(t, c.reports, 1)
	assert.Equal(t, c.counts, len(full))
}

// Guards against reports that would take the memory of the replica.
func TestInvalidReportsAreRefused(t *testing.T) {
	c := NewCollector(time.Now)
	long := strings.Repeat("x", maxNameBytes+1)
	var many []Demand
	for i := range MaxTeams + 1 {
		many = append(many, demandOf(fmt.Sprint(i), 1, 1))
	}
	for name, r := range map[string]*wire.DemandReport{
		"no gateway":   {Service: "s"},
		"no service":   {Gateway: "g"},
		"long service": {Gateway: "g", Service: long},
		"long team":    reportOf("g", demandOf(long, 1, 1)),
		"long cause":   reportOf("g", Demand{Team: "a", Causes: []CauseCount{{long, 1}}}),
		"many causes":  {Gateway: "g", Service: "s", Teams: []*wire.TeamDemand{{Refused: make([]*wire.RefusedCount, maxCauses+1)}}},
		"many teams":   reportOf("g", many...),
		"many counts":  {Gateway: "g", Service: "s", Teams: make([]*wire.TeamDemand, (MaxTeams+1)*maxPriorities+1)},
	} {
		_, err := c.Report(r)
		assert.ErrorIs(t, err, ErrInvalidReport, name)
	}
	assert.Equal(t, c.reports, 0)
}

// Guards against a replica that takes more than a small part of a core for the reports of 400 gateways with
// 256 teams each, which come each second: one operation is such a second.
func BenchmarkSecondOfReports(b *testing.B) {
	at := &clock{start}
	c := NewCollector(at.now)
	list := make([]Demand, MaxTeams)
	for i := range list {
		list[i] = Demand{Team: fmt.Sprint("team-", i), Priority: 1, Arrived: 100, Admitted: 50, Refused: 50, Causes: []CauseCount{{"upstreams-busy", 50}}}
	}
	reports := make([]*wire.DemandReport, 400)
	for i := range reports {
		reports[i] = reportOf(fmt.Sprint("gateway-", i), list...)
	}
	data, err := proto.Marshal(reports[0])
	assert.NilError(b, err)
	for b.Loop() {
		for _, r := range reports {
			at.pass(time.Second / time.Duration(len(reports)))
			_, err := c.Report(r)
			assert.NilError(b, err)
		}
	}
	b.ReportMetric(float64(len(data)), "B/report")
}
