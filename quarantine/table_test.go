package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

var start = time.Unix(1000, 0)

// after returns the time d after start.
func after(d time.Duration) time.Time { return start.Add(d) }

func subject(team, body string) RequestInfo {
	r := &Request{Team: team, Method: "POST", Host: "h", URI: "/x", Body: []byte(body)}
	return RequestInfo{Key: r.Key(), Hint: r.Hint(), Team: team, Route: "r"}
}

// crashedRun returns a run of 10 ms that ended with the crash of its upstream.
func crashedRun(upstream string, ended time.Time) CrashedRun {
	return CrashedRun{Upstream: upstream, Began: ended.Add(-10 * time.Millisecond), Ended: ended}
}

// crashThree has three upstreams crash one after the other while running a request.
func crashThree(tb *Table, s RequestInfo, last time.Time) {
	for i := range 3 {
		at := last.Add(time.Duration(i-2) * time.Second)
		tb.RecordCrash(at, s, crashedRun(fmt.Sprint("up-", i), at))
	}
}

// The key depends on team, method, host, URI and body, and on where each of them ends.
func TestKeyIdentifiesContent(t *testing.T) {
	base := Request{Team: "a", Method: "POST", Host: "h", URI: "/x", Body: []byte("body")}
	same := base
	assert.Equal(t, base.Key(), same.Key())
	assert.Equal(t, base.Hint(), same.Hint())
	for _, other := range []Request{
		{Team: "b", Method: "POST", Host: "h", URI: "/x", Body: []byte("body")},
		{Team: "a", Method: "PUT", Host: "h", URI: "/x", Body: []byte("body")},
		{Team: "a", Method: "POST", Host: "i", URI: "/x", Body: []byte("body")},
		{Team: "a", Method: "POST", Host: "h", URI: "/xb", Body: []byte("ody")},
		{Team: "aP", Method: "OST", Host: "h", URI: "/x", Body: []byte("body")},
		{Team: "a", Method: "POST", Host: "h", URI: "/x", Body: []byte("bodz")},
	} {
		assert.Assert(t, base.Key() != other.Key(), "%+v", other)
	}
	parsed, err := ParseKey(base.Key().String())
	assert.NilError(t, err)
	assert.Equal(t, parsed, base.Key())
	_, err = ParseKey("12")
	assert.ErrorIs(t, err, ErrInvalidKey)
}

// A request is suspected after one crash, on its last trial after two and in quarantine after three.
// Several copies at one upstream count as one crash.
func TestThirdCrashQuarantines(t *testing.T) {
	tb := NewTable(DefaultSettings())
	poison := subject("a", "bad")
	assert.Equal(t, tb.Verdict(start, poison.Key).Status, Unsuspected)
	for range 5 {
		assert.Equal(t, tb.RecordCrash(start, poison, crashedRun("up-1", start)).Status, Suspect)
	}
	assert.Equal(t, tb.RecordCrash(after(time.Second), poison, crashedRun("up-2", after(time.Second))).Status, LastTrial)
	v := tb.RecordCrash(after(2*time.Second), poison, crashedRun("up-3", after(2*time.Second)))
	assert.Equal(t, v.Status, Quarantined)
	assert.Equal(t, v.Crashes, 3)
	assert.Equal(t, v.Left, DefaultSettings().BaseDuration)
	assert.Assert(t, !tb.Begin(after(3*time.Second), poison.Key))
}

// A harmless request that keeps being sent while upstreams crash isn't put in quarantine if it is
// answered in between.
func TestAnswerClearsSuspicion(t *testing.T) {
	tb := NewTable(DefaultSettings())
	harmless := subject("a", "fine")
	for n := range 30 {
		now := after(time.Duration(n) * time.Second)
		assert.Assert(t, tb.RecordCrash(now, harmless, crashedRun(fmt.Sprint("up-", 2*n), now)).Status < Quarantined)
		assert.Assert(t, tb.RecordCrash(now, harmless, crashedRun(fmt.Sprint("up-", 2*n+1), now)).Status < Quarantined)
		assert.Assert(t, tb.RecordAnswer(now, harmless.Key))
		assert.Equal(t, tb.Verdict(now, harmless.Key).Status, Unsuspected)
	}
	assert.Assert(t, !tb.RecordAnswer(after(time.Hour), harmless.Key), "nothing is held against it")
}

// Copies of a harmless request run at several upstreams that crash simultaneously. That puts it on its
// last trial only, and an answer clears it; crashes of runs that begin later put it in quarantine.
func TestSimultaneousCrashesDoNotQuarantine(t *testing.T) {
	tb := NewTable(DefaultSettings())
	popular := subject("a", "hot")
	for i := range 6 {
		// The crashes are 10 ms apart, after runs of different lengths.
		ended := after(time.Duration(10*i) * time.Millisecond)
		v := tb.RecordCrash(ended, popular, CrashedRun{Upstream: fmt.Sprint("up-", i), Began: ended.Add(-time.Duration(20*i) * time.Millisecond), Ended: ended})
		assert.Assert(t, v.Status < Quarantined)
	}
	assert.Equal(t, tb.Verdict(after(time.Second), popular.Key).Status, LastTrial)
	answered := NewTable(DefaultSettings())
	for _, m := range tb.LocalSince(start, 0).Suspicions {
		answered.Merge(after(time.Second), m)
	}
	assert.Assert(t, answered.RecordAnswer(after(time.Second), popular.Key))
	assert.Equal(t, answered.Verdict(after(time.Second), popular.Key).Status, Unsuspected)
	late := after(2 * time.Second)
	assert.Equal(t, tb.RecordCrash(late, popular, crashedRun("up-8", late)).Status, LastTrial)
	later := after(3 * time.Second)
	assert.Equal(t, tb.RecordCrash(later, popular, crashedRun("up-9", later)).Status, Quarantined)
}

// Concurrent copies of a request on its last trial would each crash an upstream before the first
// crash is known.
func TestLastTrialAllowsOneCopy(t *testing.T) {
	tb := NewTable(DefaultSettings())
	poison := subject("a", "bad")
	tb.RecordCrash(start, poison, crashedRun("up-1", start))
	assert.Assert(t, tb.Begin(start, poison.Key))
	assert.Assert(t, tb.Begin(start, poison.Key))
	tb.Done(poison.Key)
	tb.Done(poison.Key)
	tb.RecordCrash(start, poison, crashedRun("up-2", start))
	assert.Assert(t, tb.Begin(start, poison.Key))
	assert.Assert(t, !tb.Begin(start, poison.Key))
	tb.Done(poison.Key)
	assert.Assert(t, tb.Begin(start, poison.Key))
}

// After its quarantine a request gets one trial. A crash doubles the next quarantine, and an answer
// resets it.
func TestQuarantineLapsesAndDoubles(t *testing.T) {
	s := DefaultSettings()
	tb := NewTable(s)
	poison := subject("a", "bad")
	crashThree(tb, poison, start)
	assert.Equal(t, tb.Verdict(after(s.BaseDuration-time.Second), poison.Key).Status, Quarantined)
	lapsed := after(s.BaseDuration + time.Second)
	assert.Equal(t, tb.Verdict(lapsed, poison.Key).Status, LastTrial)
	v := tb.RecordCrash(lapsed, poison, crashedRun("up-9", lapsed))
	assert.Equal(t, v.Status, Quarantined)
	assert.Equal(t, v.Left, 2*s.BaseDuration)
	again := lapsed.Add(2*s.BaseDuration + time.Second)
	assert.Assert(t, tb.RecordAnswer(again, poison.Key))
	later := again.Add(time.Second)
	assert.Equal(t, tb.RecordCrash(later, poison, crashedRun("up-10", later)).Status, Suspect)
	assert.Equal(t, s.quarantineDuration(100), s.MaxDuration)
}

// Crashes of a request in quarantine aren't held against requests that ran beside it, whether they are
// reported before or after the quarantine begins.
func TestQuarantineTakesCrashesOffOthers(t *testing.T) {
	tb := NewTable(DefaultSettings())
	poison, once, twice := subject("a", "bad"), subject("b", "once"), subject("c", "twice")
	before := after(-time.Second)
	tb.RecordCrash(before, once, crashedRun("up-1", before))
	tb.RecordCrash(before, twice, crashedRun("up-1", before))
	tb.RecordCrash(before, poison, crashedRun("up-1", before))
	tb.RecordCrash(start, twice, crashedRun("up-2", start))
	tb.RecordCrash(start, poison, crashedRun("up-2", start))
	assert.Equal(t, tb.Verdict(start, twice.Key).Status, LastTrial)
	tb.RecordCrash(start, poison, crashedRun("up-3", start))
	assert.Equal(t, tb.Verdict(start, poison.Key).Status, Quarantined)
	assert.Equal(t, tb.Verdict(start, once.Key).Status, Unsuspected)
	assert.Equal(t, tb.Verdict(start, twice.Key).Status, Unsuspected)
	// A crash that is reported during the quarantine isn't held against it either.
	assert.Equal(t, tb.RecordCrash(start, twice, crashedRun("up-3", start)).Status, Unsuspected)
	assert.Equal(t, tb.RecordCrash(start, twice, crashedRun("up-4", start)).Status, Suspect)
}

// Three tables observe one crash each; what they report adds up to a quarantine in all of them, and a
// clearing in one ends it in the others.
func TestTablesMergeCrashes(t *testing.T) {
	poison := subject("a", "bad")
	tables := []*Table{NewTable(DefaultSettings()), NewTable(DefaultSettings()), NewTable(DefaultSettings())}
	replica := NewTable(DefaultSettings())
	for i, tb := range tables {
		tb.RecordCrash(start, poison, crashedRun(fmt.Sprint("up-", i), after(time.Duration(i-2)*time.Second)))
		for _, m := range tb.LocalSince(start, 0).Suspicions {
			assert.NilError(t, Check(m))
			assert.Assert(t, replica.Merge(start, m))
			assert.Assert(t, !replica.Merge(start, m), "nothing new the second time")
		}
	}
	batch := replica.Since(start, 0)
	assert.Equal(t, len(batch.Suspicions), 1)
	for _, tb := range tables {
		tb.Merge(start, batch.Suspicions[0])
		assert.Equal(t, tb.Verdict(start, poison.Key).Status, Quarantined)
	}
	assert.Equal(t, len(replica.Since(start, batch.Version).Suspicions), 0)
	tables[0].RecordAnswer(start, poison.Key)
	replica.Merge(start, tables[0].LocalSince(start, 0).Suspicions[0])
	batch = replica.Since(start, batch.Version)
	assert.Assert(t, batch.Suspicions[0].Cleared)
	tables[1].Merge(start, batch.Suspicions[0])
	assert.Equal(t, tables[1].Verdict(start, poison.Key).Status, Unsuspected)
}

// When a group is lost, each request that ran there has a single crash. Reporting all of them would
// flood the entries.
func TestSinceOmitsSingleCrashes(t *testing.T) {
	replica := NewTable(DefaultSettings())
	for i := range 500 {
		replica.RecordCrash(start, subject("a", fmt.Sprint(i)), crashedRun("up-1", start))
	}
	assert.Equal(t, len(replica.Since(start, 0).Suspicions), 0)
	for i := range 500 {
		replica.RecordAnswer(start, subject("a", fmt.Sprint(i)).Key)
	}
	assert.Equal(t, len(replica.Since(start, 0).Suspicions), 0)
}

// No change is left out when there are more than fit in one message.
func TestSinceReturnsBoundedBatches(t *testing.T) {
	replica := NewTable(DefaultSettings())
	for i := range 300 {
		s := subject(fmt.Sprint("team-", i%4), fmt.Sprint(i))
		replica.RecordCrash(start, s, crashedRun("up-1", start))
		replica.RecordCrash(start, s, crashedRun("up-2", start))
	}
	seen, version := 0, uint64(0)
	for range 10 {
		batch := replica.Since(start, version)
		assert.Assert(t, len(batch.Suspicions) <= MaxBatch)
		seen, version = seen+len(batch.Suspicions), batch.Version
	}
	assert.Equal(t, seen, 300)
	assert.Equal(t, version, replica.Version())
}

// A team with many suspected requests evicts its own records, the weakest and oldest first, and not
// those of other teams.
func TestTableEvictsWithinTeam(t *testing.T) {
	s := DefaultSettings()
	tb := NewTable(s)
	held := subject("b", "held")
	crashThree(tb, held, start)
	strong := subject("a", "strong")
	tb.RecordCrash(start, strong, crashedRun("up-3", start))
	tb.RecordCrash(start, strong, crashedRun("up-4", start))
	for i := range 3 * s.MaxRecords {
		tb.RecordCrash(after(time.Duration(i)*time.Millisecond), subject("a", fmt.Sprint(i)), crashedRun("up-5", start))
	}
	assert.Assert(t, tb.Len() <= s.MaxRecordsPerTeam+1, tb.Len())
	assert.Equal(t, tb.Verdict(after(time.Second), held.Key).Status, Quarantined)
	assert.Equal(t, tb.Verdict(after(time.Second), strong.Key).Status, LastTrial)
	for i := range 3 * s.MaxRecords {
		tb.RecordCrash(after(time.Minute), subject(fmt.Sprint("t-", i%50), fmt.Sprint(i)), crashedRun("up-6", after(time.Minute)))
	}
	assert.Assert(t, tb.Len() <= s.MaxRecords, tb.Len())
	assert.Equal(t, tb.Verdict(after(time.Minute), held.Key).Status, Quarantined)
}

// The hint of a forgotten request is forgotten too, so that no bodies are hashed for it.
func TestForgetDropsExpiredRecords(t *testing.T) {
	s := DefaultSettings()
	tb := NewTable(s)
	one := subject("a", "one")
	tb.RecordCrash(start, one, crashedRun("up-1", start))
	assert.Assert(t, tb.MayContain(one.Hint))
	late := after(s.SuspicionTTL + time.Second)
	assert.Equal(t, tb.Verdict(late, one.Key).Status, Unsuspected)
	tb.Forget(late)
	assert.Equal(t, tb.Len(), 0)
	assert.Assert(t, !tb.MayContain(one.Hint))
}

// A table that starts empty learns current and lapsed quarantines from the log, and a repeated command
// changes nothing.
func TestMachineRestoresQuarantines(t *testing.T) {
	tb, m := NewTable(DefaultSettings()), &Machine{}
	poison := subject("a", "bad")
	crashThree(tb, poison, start)
	s := tb.All(start)[0]
	assert.Assert(t, !m.Covers(start, s))
	put := &wire.QuarantineCommand{Put: NewLoggedQuarantine(start, s)}
	assert.Assert(t, m.Apply(put).Changed)
	assert.Assert(t, !m.Apply(put).Changed)
	assert.Assert(t, m.Covers(after(time.Minute), tb.All(after(time.Minute))[0]))

	restored := &Machine{}
	restored.Restore(m.Snapshot())
	fresh := NewTable(DefaultSettings())
	fresh.Merge(after(time.Minute), restored.Suspicions(after(time.Minute))[0])
	v := fresh.Verdict(after(time.Minute), poison.Key)
	assert.Equal(t, v.Status, Quarantined)
	assert.Equal(t, v.Left, DefaultSettings().BaseDuration-time.Minute)

	lapsed := after(DefaultSettings().BaseDuration + time.Minute)
	later := NewTable(DefaultSettings())
	later.Merge(lapsed, restored.Suspicions(lapsed)[0])
	assert.Equal(t, later.Verdict(lapsed, poison.Key).Status, LastTrial)
	assert.Equal(t, later.RecordCrash(lapsed, poison, crashedRun("up-9", lapsed)).Status, Quarantined)

	assert.Assert(t, m.Apply(&wire.QuarantineCommand{Lift: poison.Key[:], AtMs: 7}).Changed)
	assert.Equal(t, m.LiftedAt(poison.Key[:]), uint64(7))
	assert.Equal(t, len(m.Suspicions(start)), 0)
	assert.Assert(t, !m.Apply(&wire.QuarantineCommand{Lift: poison.Key[:], AtMs: 9}).Changed, "it isn't there any more")
}

// A quarantine that was lifted isn't put back for the crashes from before the lift, but for new ones.
// A replica that replays the log days later comes to the same result.
func TestLiftedQuarantineNeedsNewCrashes(t *testing.T) {
	tb, m := NewTable(DefaultSettings()), &Machine{}
	poison := subject("a", "bad")
	crashThree(tb, poison, start)
	old := NewLoggedQuarantine(start, tb.All(start)[0])
	lifted := after(time.Minute)
	again := after(time.Hour)
	fresh := NewTable(DefaultSettings())
	for i := range 3 {
		at := again.Add(time.Duration(i) * time.Second)
		fresh.RecordCrash(at, poison, crashedRun(fmt.Sprint("new-", i), at))
	}
	put := NewLoggedQuarantine(again.Add(2*time.Second), fresh.All(again.Add(2 * time.Second))[0])
	commands := []*wire.QuarantineCommand{
		{Put: old, AtMs: uint64(start.UnixMilli())}, {Lift: poison.Key[:], AtMs: uint64(lifted.UnixMilli())},
		{Put: old, AtMs: uint64(lifted.UnixMilli())}, {Put: put, AtMs: uint64(again.UnixMilli())},
	}
	replayed, late := NewTable(DefaultSettings()), again.Add(5*time.Minute)
	for i, c := range commands {
		changed := m.Apply(c).Changed
		assert.Equal(t, changed, i != 2)
		if changed {
			replayed.Merge(late, CommandSuspicion(late, c))
		}
	}
	v := replayed.Verdict(late, poison.Key)
	assert.Equal(t, v.Status, Quarantined)
	assert.DeepEqual(t, v.Upstreams, []string{"new-0", "new-1", "new-2"})
}

// A team that fills the log loses its own oldest quarantines, not those of other teams.
func TestMachineEvictsWithinTeam(t *testing.T) {
	m := &Machine{}
	add := func(team string, i int) {
		s := subject(team, fmt.Sprint(i))
		m.Apply(&wire.QuarantineCommand{Put: &wire.LoggedQuarantine{Request: &wire.Suspicion{Key: s.Key[:], Team: team}, UntilMs: 1, EndedMs: 1}})
	}
	add("b", 0)
	for i := range 2 * maxLogged {
		add("a", i)
	}
	assert.Equal(t, len(m.logged), maxLoggedPerTeam+1)
	b := subject("b", "0")
	assert.Assert(t, m.Get(b.Key[:]) != nil)
	for i := range 4 * maxLogged {
		add(fmt.Sprint("t", i%100), i)
	}
	assert.Equal(t, len(m.logged), maxLogged)
}
