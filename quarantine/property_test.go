package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipereach/snipereach/wire"
)

// Tables exchange crashes and answers of one request late, repeatedly and out of order. Once all have
// exchanged everything, they must hold the same crashes, and none from before the last answer.
func TestTablesConvergeAfterExchange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := make([]*Table, 3)
		for i := range tables {
			tables[i] = NewTable(DefaultSettings())
		}
		poison := subject("a", "bad")
		now, crashes := start, 0
		var messages []*wire.Suspicion
		var sentAt []time.Time
		lastAnswer := time.Time{}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "later")) * time.Millisecond)
			table := tables[rapid.IntRange(0, 2).Draw(t, "table")]
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				if table.RecordAnswer(now, poison.Key) {
					lastAnswer = now
				}
			case 1, 2, 3:
				if len(messages) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(messages)-1).Draw(t, "word")
				table.Merge(now, delayed(messages[i], now.Sub(sentAt[i])))
			case 4, 5:
				for _, m := range table.LocalSince(now, 0).Suspicions {
					messages, sentAt = append(messages, m), append(sentAt, now)
				}
			default:
				crashes++
				table.RecordCrash(now, poison, crashedRun(fmt.Sprint("up-", crashes%6), now))
			}
		}
		for range 2 * len(tables) {
			exchangeAll(now, tables)
		}
		first := tables[0].Verdict(now, poison.Key)
		for _, table := range tables {
			v := table.Verdict(now, poison.Key)
			assert.Equal(t, v.Status == Quarantined, first.Status == Quarantined)
			assert.DeepEqual(t, sortedCopy(v.Upstreams), sortedCopy(first.Upstreams))
			if r := table.records[poison.Key]; r != nil {
				for _, run := range r.runs {
					assert.Assert(t, run.Ended.After(lastAnswer), "a crash from before the answer is held")
				}
			}
		}
	})
}

func sortedCopy(list []string) []string {
	list = slices.Clone(list)
	slices.Sort(list)
	return list
}

// delayed returns a message as it is after some time in transit.
func delayed(m *wire.Suspicion, by time.Duration) *wire.Suspicion {
	m = proto.CloneOf(m)
	for _, run := range m.Runs {
		run.AgeMs += toMillis(by)
	}
	m.ClearedAgeMs += toMillis(by)
	m.QuarantineMs -= min(m.QuarantineMs, toMillis(by))
	return m
}

// exchangeAll has all tables learn everything that the others hold.
func exchangeAll(now time.Time, tables []*Table) {
	for _, from := range tables {
		var list []*wire.Suspicion
		for _, r := range from.records {
			if m := from.toSuspicion(now, r); Check(m) == nil {
				list = append(list, m)
			}
		}
		for _, to := range tables {
			for _, m := range list {
				to.Merge(now, m)
			}
		}
	}
}

// Any message that passes Check must leave a table within its limits, and lead to no message that
// Check refuses.
func FuzzTableLearn(f *testing.F) {
	table := NewTable(DefaultSettings())
	crashThree(table, subject("a", "bad"), start)
	for _, m := range table.All(start) {
		seed, err := proto.Marshal(m)
		assert.NilError(f, err)
		f.Add(seed)
	}
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		m := &wire.Suspicion{}
		if proto.Unmarshal(data, m) != nil || Check(m) != nil {
			return
		}
		table := NewTable(DefaultSettings())
		table.Merge(start, m)
		table.Merge(after(time.Second), m)
		v := table.RecordCrash(after(2*time.Second), RequestInfo{Key: Key(m.Key)}, crashedRun("up-x", after(2*time.Second)))
		assert.Assert(t, v.Status != Unsuspected && len(v.Upstreams) <= maxRuns)
		assert.Assert(t, v.Left <= 50*24*time.Hour)
		for _, out := range table.Since(after(2*time.Second), 0).Suspicions {
			assert.NilError(t, Check(out))
		}
		machine := &Machine{}
		machine.Apply(&wire.QuarantineCommand{Put: NewLoggedQuarantine(start, m), AtMs: 1})
		machine.Suspicions(after(time.Minute))
	})
}
