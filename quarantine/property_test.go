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

// Entries see ends and answers of one request and tell each other, late, twice, in another order,
// or not at all for a while; some start anew. Once all words have come to all, they hold the same
// ends against it, and after a whole answer none that was before.
func TestTablesAgreeOnceAllIsHeard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := make([]*Table, 3)
		for i := range tables {
			tables[i] = NewTable(DefaultSettings())
		}
		bad := subject("a", "bad")
		now, ups := start, 0
		var words []*wire.Suspicion
		var sentAt []time.Time
		lastAnswer := time.Time{}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "later")) * time.Millisecond)
			tb := tables[rapid.IntRange(0, 2).Draw(t, "table")]
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				if tb.Answered(now, bad.Key) {
					lastAnswer = now
				}
			case 1, 2, 3:
				if len(words) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(words)-1).Draw(t, "word")
				tb.Learn(now, older(words[i], now.Sub(sentAt[i])))
			case 4, 5:
				for _, m := range tb.Own(now, 0).Suspicions {
					words, sentAt = append(words, m), append(sentAt, now)
				}
			default:
				ups++
				tb.Ended(now, bad, run(fmt.Sprint("up-", ups%6), now))
			}
		}
		for range 2 * len(tables) {
			exchange(now, tables)
		}
		first := tables[0].Judge(now, bad.Key)
		for _, tb := range tables {
			v := tb.Judge(now, bad.Key)
			assert.Equal(t, v.Standing == Quarantined, first.Standing == Quarantined)
			assert.DeepEqual(t, sorted(v.Upstreams), sorted(first.Upstreams))
			if r := tb.records[bad.Key]; r != nil {
				for _, run := range r.runs {
					assert.Assert(t, run.Ended.After(lastAnswer), "an end of before the answer is held")
				}
			}
		}
	})
}

func sorted(list []string) []string {
	list = slices.Clone(list)
	slices.Sort(list)
	return list
}

// older is a word that was on its way for a time.
func older(m *wire.Suspicion, by time.Duration) *wire.Suspicion {
	m = proto.CloneOf(m)
	for _, run := range m.Runs {
		run.AgeMs += inMillis(by)
	}
	m.ClearedAgeMs += inMillis(by)
	m.QuarantineMs -= min(m.QuarantineMs, inMillis(by))
	return m
}

// exchange has all tables tell each other all that they hold.
func exchange(now time.Time, tables []*Table) {
	for _, from := range tables {
		var list []*wire.Suspicion
		for _, r := range from.records {
			if m := from.message(now, r); Check(m) == nil {
				list = append(list, m)
			}
		}
		for _, to := range tables {
			for _, m := range list {
				to.Learn(now, m)
			}
		}
	}
}

// A peer that is wrong, or not ours, tells anything. A Table that takes it keeps its bounds, and
// tells on nothing that others would refuse.
func FuzzTableTakesAnyWord(f *testing.F) {
	tb := NewTable(DefaultSettings())
	endThree(tb, subject("a", "bad"), start)
	for _, m := range tb.All(start) {
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
		tb := NewTable(DefaultSettings())
		tb.Learn(start, m)
		tb.Learn(after(time.Second), m)
		v := tb.Ended(after(2*time.Second), Subject{Key: Key(m.Key)}, run("up-x", after(2*time.Second)))
		assert.Assert(t, v.Standing != Free && len(v.Upstreams) <= mostRuns)
		assert.Assert(t, v.Left <= 50*24*time.Hour)
		for _, out := range tb.Since(after(2*time.Second), 0).Suspicions {
			assert.NilError(t, Check(out))
		}
		mc := &Machine{}
		mc.Apply(&wire.QuarantineCommand{Put: Logged(start, m), AtMs: 1})
		mc.Told(after(time.Minute))
	})
}
