package outlier

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipereach/snipereach/wire"
)

var start = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

func seconds(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// groupOf returns the incarnations of a group of ranks, all 1.
func groupOf(n int) map[string]uint64 {
	group := map[string]uint64{}
	for i := range n {
		group[fmt.Sprint("r", i)] = 1
	}
	return group
}

// record takes in that a gateway found an upstream silent at a time.
func record(t *Table, upstream, gateway string, at float64) bool {
	return t.Record(seconds(at), Report{Upstream: upstream, Incarnation: 1, Reporter: gateway, At: seconds(at)})
}

// Guards against a silent upstream that is used though two gateways have told, or avoided longer than
// for 3 s.
func TestAvoidedFromSecondReporterUntilWindowEnds(t *testing.T) {
	table, group := &Table{}, groupOf(16)
	record(table, "r3", "a", 0)
	assert.Equal(t, len(table.Avoided(seconds(0.1), group)), 0)
	record(table, "r3", "b", 2.9)
	assert.DeepEqual(t, table.Avoided(seconds(2.9), group), map[string]bool{"r3": true})
	assert.DeepEqual(t, table.Avoided(seconds(5.8), group), map[string]bool{"r3": true})
	assert.Equal(t, len(table.Avoided(seconds(5.9), group)), 0)
}

// Guards against reports that lie too far apart being taken for one failure.
func TestReportersFartherApartThanWindowDontCount(t *testing.T) {
	table := &Table{}
	record(table, "r3", "a", 0)
	record(table, "r3", "b", 3)
	assert.Equal(t, len(table.Avoided(seconds(3), groupOf(16))), 0)
}

// Guards against an upstream that is avoided though it has responded, or has restarted.
func TestResponseAndRestartEndAvoidance(t *testing.T) {
	table, group := &Table{}, groupOf(16)
	record(table, "r3", "a", 0)
	record(table, "r3", "b", 0)
	restarted := groupOf(16)
	restarted["r3"] = 2
	assert.Equal(t, len(table.Avoided(seconds(0), restarted)), 0)
	table.Responded(seconds(0.5), "r3")
	assert.Equal(t, len(table.Avoided(seconds(0.5), group)), 0)
	record(table, "r3", "a", 1)
	assert.Equal(t, len(table.Avoided(seconds(1), group)), 0, "one report since the response")
	record(table, "r3", "b", 1.1)
	assert.Equal(t, len(table.Avoided(seconds(1.1), group)), 1)
	assert.Assert(t, table.Record(seconds(1.2), Report{Upstream: "r3", Incarnation: 2, Reporter: "a", At: seconds(1.2)}))
	assert.Assert(t, !record(table, "r3", "b", 1.7), "a report of the earlier incarnation")
	assert.Equal(t, len(table.Avoided(seconds(1.7), restarted)), 0)
}

// Guards against a bound that leaves out an upstream that most gateways have found silent.
func TestMostReportedAreAvoidedFirst(t *testing.T) {
	table := &Table{}
	for _, id := range []string{"r7", "r11"} {
		record(table, id, "c", 0)
		record(table, id, "d", 0)
		record(table, id, "e", 0)
	}
	for i := range 16 {
		if id := fmt.Sprint("r", i); id != "r7" && id != "r11" {
			record(table, id, "a", 0.1)
			record(table, id, "b", 0.2)
		}
	}
	assert.DeepEqual(t, table.Avoided(seconds(0.3), groupOf(16)), map[string]bool{"r7": true, "r11": true})
	assert.DeepEqual(t, table.Avoided(seconds(0.3), groupOf(5)), map[string]bool{"r0": true})
}

// Guards against a gateway with a faulty link that fills the table, so that others aren't heard.
func TestOneGatewayDoesNotDriveOutWhatSeveralHaveReported(t *testing.T) {
	table := &Table{}
	record(table, "r3", "a", 0)
	record(table, "r3", "b", 0)
	for i := range 2 * MaxUpstreams {
		record(table, fmt.Sprint("x", i), "faulty", 0.1+float64(i)/10000)
		assert.Assert(t, table.Len() <= MaxUpstreams)
	}
	assert.Equal(t, len(table.Avoided(seconds(1), groupOf(16))), 1)
	record(table, "r4", "a", 0.5)
	record(table, "r4", "b", 0.5)
	assert.Equal(t, len(table.Silent(seconds(1))), 2)
}

// Guards against a message to each gateway for each report, with many gateways and requests.
func TestRepeatedReportsAreNotPassedOn(t *testing.T) {
	table, changes := &Table{}, 0
	for i := range 1000 {
		if record(table, "r3", fmt.Sprint("g", i%400), float64(i)/1000) {
			changes++
		}
	}
	assert.Assert(t, changes <= 3*maxReporters, "%d", changes)
}

// tableModel plays reports, responses and the passing of time. A model keeps all reports.
type tableModel struct {
	Table
	now     time.Time
	reports []Report
}

func (m *tableModel) step(t *rapid.T) {
	upstream := fmt.Sprint("r", rapid.IntRange(0, 19).Draw(t, "upstream"))
	switch rapid.IntRange(0, 5).Draw(t, "step") {
	case 0:
		longest := rapid.SampledFrom([]int{10, 10, 500, 4000}).Draw(t, "longest")
		m.now = m.now.Add(time.Duration(rapid.IntRange(0, longest).Draw(t, "ms")) * time.Millisecond)
	case 1:
		m.Responded(m.now, upstream)
	case 2:
		m.Expire(m.now)
	default:
		oldest := rapid.SampledFrom([]int{10, 3000, 11000}).Draw(t, "oldest")
		r := Report{
			Upstream: upstream, Incarnation: rapid.SampledFrom([]uint64{1, 1, 1, 1, 1, 1, 1, 1, 1, 2}).Draw(t, "incarnation"),
			Reporter: fmt.Sprint("g", rapid.IntRange(0, 12).Draw(t, "reporter")),
			At:       m.now.Add(-time.Duration(rapid.IntRange(-5, oldest).Draw(t, "age")) * time.Millisecond),
		}
		m.Record(m.now, r)
		m.reports = append(m.reports, r)
	}
}

// support returns how many gateways have reported an incarnation of an upstream within the last two
// windows, and the latest report that isn't in the future.
func (m *tableModel) support(upstream string, incarnation uint64) (reporters int, latest time.Time) {
	known := map[string]bool{}
	for _, r := range m.reports {
		if r.Upstream != upstream || r.Incarnation != incarnation || m.now.Sub(r.At) >= 2*window || r.At.After(m.now) {
			continue
		}
		known[r.Reporter] = true
		if r.At.After(latest) {
			latest = r.At
		}
	}
	return len(known), latest
}

// Guards against a group that is emptied, an upstream that is avoided on the word of one gateway or for
// ever, and memory that grows, whatever is reported.
func TestBoundsHoldWhateverIsReported(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &tableModel{now: start}
		group := groupOf(rapid.IntRange(1, 40).Draw(t, "ranks"))
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			m.step(t)
			avoided := m.Avoided(m.now, group)
			assert.Assert(t, len(avoided) <= max(len(group)/8, 1))
			assert.Assert(t, m.Len() <= MaxUpstreams)
			for id := range avoided {
				reporters, latest := m.support(id, group[id])
				assert.Assert(t, reporters >= 2)
				assert.Assert(t, m.now.Sub(latest) < window)
			}
			for _, known := range m.byUpstream {
				assert.Assert(t, len(known.byReporter) <= maxReporters)
			}
		}
		m.now = m.now.Add(window)
		assert.Equal(t, len(m.Avoided(m.now, group)), 0, "it doesn't end by itself")
		m.now = m.now.Add(keepTime)
		m.Expire(m.now)
		assert.Equal(t, m.Len(), 0)
	})
}

// Guards against an upstream that is avoided at one gateway only, as a message was split or came twice.
func TestReportsReachOtherTables(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, other, version := &tableModel{now: start}, &Table{}, uint64(0)
		group := groupOf(20)
		limit := rapid.IntRange(1, 4).Draw(t, "limit")
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			m.step(t)
			for {
				list, upTo := m.Since(version, limit)
				for _, msg := range ToWire(m.now, list) {
					assert.NilError(t, Check(msg))
					other.Record(m.now, FromWire(m.now, msg))
				}
				version = upTo
				if len(list) < limit {
					break
				}
			}
		}
		for _, known := range m.byUpstream {
			known.respondedAt = time.Time{}
		}
		assert.DeepEqual(t, m.Avoided(m.now, group), other.Avoided(m.now, group))
	})
}

// Guards against reports that are lost when there are more than a message may have.
func TestReportsAreSentInParts(t *testing.T) {
	table, other, version := &Table{}, &Table{}, uint64(0)
	for i := range 10 {
		record(table, fmt.Sprint("r", i), "a", 0)
		record(table, fmt.Sprint("r", i), "b", 0)
	}
	for sent := 0; sent < 20; {
		list, upTo := table.Since(version, 3)
		assert.Assert(t, len(list) > 0 && len(list) <= 3 && upTo > version)
		for _, r := range list {
			other.Record(seconds(0), r)
		}
		sent, version = sent+len(list), upTo
	}
	assert.DeepEqual(t, table.Silent(seconds(0)), other.Silent(seconds(0)))
	list, upTo := table.Since(version, 3)
	assert.Assert(t, len(list) == 0 && upTo == version)
}

// Guards against messages that no gateway sends.
func TestCheck(t *testing.T) {
	assert.NilError(t, Check(&wire.SilenceReport{Upstream: "r", Reporter: "g"}))
	long := make([]byte, maxIDBytes+1)
	for _, m := range []*wire.SilenceReport{nil, {}, {Upstream: "r"}, {Reporter: "g"}, {Upstream: string(long), Reporter: "g"}} {
		assert.ErrorIs(t, Check(m), ErrInvalidReport)
	}
	assert.Assert(t, !(&Table{}).Record(start, FromWire(start, &wire.SilenceReport{Upstream: "r", Reporter: "g", AgeMs: 1 << 31})))
}
