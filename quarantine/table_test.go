package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

var start = time.Unix(1000, 0)

// after is a time of a test.
func after(d time.Duration) time.Time { return start.Add(d) }

func subject(team, body string) Subject {
	r := &Request{Team: team, Method: "POST", Host: "h", URI: "/x", Body: []byte(body)}
	return Subject{Key: r.Key(), Hint: r.Hint(), Team: team, Route: "r"}
}

// run is a short run of a test.
func run(upstream string, ended time.Time) Run {
	return Run{Upstream: upstream, Began: ended.Add(-10 * time.Millisecond), Ended: ended}
}

// endThree has three upstreams end under a request, one after the other.
func endThree(tb *Table, s Subject, last time.Time) {
	for i := range 3 {
		at := last.Add(time.Duration(i-2) * time.Second)
		tb.Ended(at, s, run(fmt.Sprint("up-", i), at))
	}
}

// A caller shows another key of its team, sends another ID or deadline: the request is the same.
// Another team, path or body makes it another one, wherever the bytes are cut.
func TestRequestIsNamedByItsContent(t *testing.T) {
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
	assert.ErrorIs(t, err, ErrKey)
}

// A request ends one upstream after the other. It may be tried again inside a caller's request
// once, then runs alone and once a request, and after the third end not at all. Many copies at
// one upstream are one end.
func TestThirdEndPutsARequestInQuarantine(t *testing.T) {
	tb := NewTable(DefaultSettings())
	bad := subject("a", "bad")
	assert.Equal(t, tb.Judge(start, bad.Key).Standing, Free)
	for range 5 {
		assert.Equal(t, tb.Ended(start, bad, run("up-1", start)).Standing, Suspect)
	}
	assert.Equal(t, tb.Ended(after(time.Second), bad, run("up-2", after(time.Second))).Standing, LastTrial)
	v := tb.Ended(after(2*time.Second), bad, run("up-3", after(2*time.Second)))
	assert.Equal(t, v.Standing, Quarantined)
	assert.Equal(t, v.Ends, 3)
	assert.Equal(t, v.Left, DefaultSettings().Term)
	assert.Assert(t, !tb.Begin(after(3*time.Second), bad.Key))
}

// A harmless request comes again and again while upstreams end by themselves: each whole answer
// says that it isn't the cause.
func TestAnswerClearsARequest(t *testing.T) {
	tb := NewTable(DefaultSettings())
	fine := subject("a", "fine")
	for n := range 30 {
		now := after(time.Duration(n) * time.Second)
		assert.Assert(t, tb.Ended(now, fine, run(fmt.Sprint("up-", 2*n), now)).Standing < Quarantined)
		assert.Assert(t, tb.Ended(now, fine, run(fmt.Sprint("up-", 2*n+1), now)).Standing < Quarantined)
		assert.Assert(t, tb.Answered(now, fine.Key))
		assert.Equal(t, tb.Judge(now, fine.Key).Standing, Free)
	}
	assert.Assert(t, !tb.Answered(after(time.Hour), fine.Key), "nothing is held against it")
}

// Many upstreams are lost at once while copies of one harmless request run at several of them: that
// is one end. The request is on its last trial then, and an answer clears it; ends under runs that
// began later put it in quarantine.
func TestEndsAtOnceAreNoSeries(t *testing.T) {
	tb := NewTable(DefaultSettings())
	hot := subject("a", "hot")
	for i := range 6 {
		// Heard of at different moments, and run for different times.
		ended := after(time.Duration(10*i) * time.Millisecond)
		v := tb.Ended(ended, hot, Run{Upstream: fmt.Sprint("up-", i), Began: ended.Add(-time.Duration(20*i) * time.Millisecond), Ended: ended})
		assert.Assert(t, v.Standing < Quarantined)
	}
	assert.Equal(t, tb.Judge(after(time.Second), hot.Key).Standing, LastTrial)
	answered := NewTable(DefaultSettings())
	for _, m := range tb.Own(start, 0).Suspicions {
		answered.Learn(after(time.Second), m)
	}
	assert.Assert(t, answered.Answered(after(time.Second), hot.Key))
	assert.Equal(t, answered.Judge(after(time.Second), hot.Key).Standing, Free)
	late := after(2 * time.Second)
	assert.Equal(t, tb.Ended(late, hot, run("up-8", late)).Standing, LastTrial)
	later := after(3 * time.Second)
	assert.Equal(t, tb.Ended(later, hot, run("up-9", later)).Standing, Quarantined)
}

// Several copies of a request that has ended two upstreams come at once. One runs; were they let
// in side by side, each would end an upstream before the first end is known.
func TestLastTrialRunsAlone(t *testing.T) {
	tb := NewTable(DefaultSettings())
	bad := subject("a", "bad")
	tb.Ended(start, bad, run("up-1", start))
	assert.Assert(t, tb.Begin(start, bad.Key))
	assert.Assert(t, tb.Begin(start, bad.Key))
	tb.Done(bad.Key)
	tb.Done(bad.Key)
	tb.Ended(start, bad, run("up-2", start))
	assert.Assert(t, tb.Begin(start, bad.Key))
	assert.Assert(t, !tb.Begin(start, bad.Key))
	tb.Done(bad.Key)
	assert.Assert(t, tb.Begin(start, bad.Key))
}

// A quarantine lapses. The request is tried once, and the next end begins one that lasts twice as
// long; after a whole answer it is as any other.
func TestQuarantineLapsesAndGrows(t *testing.T) {
	s := DefaultSettings()
	tb := NewTable(s)
	bad := subject("a", "bad")
	endThree(tb, bad, start)
	assert.Equal(t, tb.Judge(after(s.Term-time.Second), bad.Key).Standing, Quarantined)
	lapsed := after(s.Term + time.Second)
	assert.Equal(t, tb.Judge(lapsed, bad.Key).Standing, LastTrial)
	v := tb.Ended(lapsed, bad, run("up-9", lapsed))
	assert.Equal(t, v.Standing, Quarantined)
	assert.Equal(t, v.Left, 2*s.Term)
	again := lapsed.Add(2*s.Term + time.Second)
	assert.Assert(t, tb.Answered(again, bad.Key))
	later := again.Add(time.Second)
	assert.Equal(t, tb.Ended(later, bad, run("up-10", later)).Standing, Suspect)
	assert.Equal(t, s.term(100), s.MostTerm)
}

// Two requests run beside the one that ends upstreams, one of them twice. Once that one is
// known, its ends are no longer held against them.
func TestQuarantineExplainsTheEndsOfOthers(t *testing.T) {
	tb := NewTable(DefaultSettings())
	bad, once, twice := subject("a", "bad"), subject("b", "once"), subject("c", "twice")
	before := after(-time.Second)
	tb.Ended(before, once, run("up-1", before))
	tb.Ended(before, twice, run("up-1", before))
	tb.Ended(before, bad, run("up-1", before))
	tb.Ended(start, twice, run("up-2", start))
	tb.Ended(start, bad, run("up-2", start))
	assert.Equal(t, tb.Judge(start, twice.Key).Standing, LastTrial)
	tb.Ended(start, bad, run("up-3", start))
	assert.Equal(t, tb.Judge(start, bad.Key).Standing, Quarantined)
	assert.Equal(t, tb.Judge(start, once.Key).Standing, Free)
	assert.Equal(t, tb.Judge(start, twice.Key).Standing, Free)
	// One whose word comes later isn't charged with them either.
	assert.Equal(t, tb.Ended(start, twice, run("up-3", start)).Standing, Free)
	assert.Equal(t, tb.Ended(start, twice, run("up-4", start)).Standing, Suspect)
}

// Entries see one end each. By what they tell each other the third one puts the request in
// quarantine at all of them; a clear word takes it out again.
func TestTablesAddUpWhatTheyHear(t *testing.T) {
	bad := subject("a", "bad")
	tables := []*Table{NewTable(DefaultSettings()), NewTable(DefaultSettings()), NewTable(DefaultSettings())}
	hub := NewTable(DefaultSettings())
	for i, tb := range tables {
		tb.Ended(start, bad, run(fmt.Sprint("up-", i), after(time.Duration(i-2)*time.Second)))
		for _, m := range tb.Own(start, 0).Suspicions {
			assert.NilError(t, Check(m))
			assert.Assert(t, hub.Learn(start, m))
			assert.Assert(t, !hub.Learn(start, m), "nothing new the second time")
		}
	}
	told := hub.Since(start, 0)
	assert.Equal(t, len(told.Suspicions), 1)
	for _, tb := range tables {
		tb.Learn(start, told.Suspicions[0])
		assert.Equal(t, tb.Judge(start, bad.Key).Standing, Quarantined)
	}
	assert.Equal(t, len(hub.Since(start, told.Version).Suspicions), 0)
	tables[0].Answered(start, bad.Key)
	hub.Learn(start, tables[0].Own(start, 0).Suspicions[0])
	told = hub.Since(start, told.Version)
	assert.Assert(t, told.Suspicions[0].Cleared)
	tables[1].Learn(start, told.Suspicions[0])
	assert.Equal(t, tables[1].Judge(start, bad.Key).Standing, Free)
}

// What only ran once beside an end isn't told to those that act on it: when a group is lost, that
// is all that ran there.
func TestFewAreToldOf(t *testing.T) {
	hub := NewTable(DefaultSettings())
	for i := range 500 {
		hub.Ended(start, subject("a", fmt.Sprint(i)), run("up-1", start))
	}
	assert.Equal(t, len(hub.Since(start, 0).Suspicions), 0)
	for i := range 500 {
		hub.Answered(start, subject("a", fmt.Sprint(i)).Key)
	}
	assert.Equal(t, len(hub.Since(start, 0).Suspicions), 0)
}

// A long list is told in parts, and none is left out.
func TestLongListsAreToldInParts(t *testing.T) {
	hub := NewTable(DefaultSettings())
	for i := range 300 {
		s := subject(fmt.Sprint("team-", i%4), fmt.Sprint(i))
		hub.Ended(start, s, run("up-1", start))
		hub.Ended(start, s, run("up-2", start))
	}
	seen, version := 0, uint64(0)
	for range 10 {
		told := hub.Since(start, version)
		assert.Assert(t, len(told.Suspicions) <= MostTold)
		seen, version = seen+len(told.Suspicions), told.Version
	}
	assert.Equal(t, seen, 300)
	assert.Equal(t, version, hub.Version())
}

// A team sends more and more requests under which upstreams end. It pushes out its own, the
// weakest and oldest first; another team's one stays.
func TestMemoryIsBoundedByTeam(t *testing.T) {
	s := DefaultSettings()
	tb := NewTable(s)
	held := subject("b", "held")
	endThree(tb, held, start)
	strong := subject("a", "strong")
	tb.Ended(start, strong, run("up-3", start))
	tb.Ended(start, strong, run("up-4", start))
	for i := range 3 * s.Most {
		tb.Ended(after(time.Duration(i)*time.Millisecond), subject("a", fmt.Sprint(i)), run("up-5", start))
	}
	assert.Assert(t, tb.Len() <= s.MostOfTeam+1, tb.Len())
	assert.Equal(t, tb.Judge(after(time.Second), held.Key).Standing, Quarantined)
	assert.Equal(t, tb.Judge(after(time.Second), strong.Key).Standing, LastTrial)
	for i := range 3 * s.Most {
		tb.Ended(after(time.Minute), subject(fmt.Sprint("t-", i%50), fmt.Sprint(i)), run("up-6", after(time.Minute)))
	}
	assert.Assert(t, tb.Len() <= s.Most, tb.Len())
	assert.Equal(t, tb.Judge(after(time.Minute), held.Key).Standing, Quarantined)
}

// What isn't held any more is forgotten, and its hint with it: requests like it cost nothing again.
func TestOldEndsAreForgotten(t *testing.T) {
	s := DefaultSettings()
	tb := NewTable(s)
	one := subject("a", "one")
	tb.Ended(start, one, run("up-1", start))
	assert.Assert(t, tb.MayKnow(one.Hint))
	late := after(s.Memory + time.Second)
	assert.Equal(t, tb.Judge(late, one.Key).Standing, Free)
	tb.Forget(late)
	assert.Equal(t, tb.Len(), 0)
	assert.Assert(t, !tb.MayKnow(one.Hint))
}

// The log's quarantines outlive all processes: a table that starts anew learns them, also those
// that have lapsed, and a command that comes twice changes nothing.
func TestMachineKeepsQuarantines(t *testing.T) {
	tb, m := NewTable(DefaultSettings()), &Machine{}
	bad := subject("a", "bad")
	endThree(tb, bad, start)
	s := tb.All(start)[0]
	assert.Assert(t, !m.Covers(start, s))
	put := &wire.QuarantineCommand{Put: Logged(start, s)}
	assert.Assert(t, m.Apply(put).Changed)
	assert.Assert(t, !m.Apply(put).Changed)
	assert.Assert(t, m.Covers(after(time.Minute), tb.All(after(time.Minute))[0]))

	restored := &Machine{}
	restored.Restore(m.Snapshot())
	fresh := NewTable(DefaultSettings())
	fresh.Learn(after(time.Minute), restored.Told(after(time.Minute))[0])
	v := fresh.Judge(after(time.Minute), bad.Key)
	assert.Equal(t, v.Standing, Quarantined)
	assert.Equal(t, v.Left, DefaultSettings().Term-time.Minute)

	lapsed := after(DefaultSettings().Term + time.Minute)
	later := NewTable(DefaultSettings())
	later.Learn(lapsed, restored.Told(lapsed)[0])
	assert.Equal(t, later.Judge(lapsed, bad.Key).Standing, LastTrial)
	assert.Equal(t, later.Ended(lapsed, bad, run("up-9", lapsed)).Standing, Quarantined)

	assert.Assert(t, m.Apply(&wire.QuarantineCommand{Lift: bad.Key[:], AtMs: 7}).Changed)
	assert.Equal(t, m.LiftedAt(bad.Key[:]), uint64(7))
	assert.Equal(t, len(m.Told(start)), 0)
	assert.Assert(t, !m.Apply(&wire.QuarantineCommand{Lift: bad.Key[:], AtMs: 9}).Changed, "it isn't there any more")
}

// An operator lifts a quarantine. A replica that was cut off asks for it again by the ends of
// before: refused. Then the request ends three more, and is put in quarantine once more. A replica
// that starts days later applies all three again, at one moment, and comes to the same.
func TestLiftedQuarantineComesBackByNewEndsOnly(t *testing.T) {
	tb, m := NewTable(DefaultSettings()), &Machine{}
	bad := subject("a", "bad")
	endThree(tb, bad, start)
	old := Logged(start, tb.All(start)[0])
	lifted := after(time.Minute)
	again := after(time.Hour)
	fresh := NewTable(DefaultSettings())
	for i := range 3 {
		at := again.Add(time.Duration(i) * time.Second)
		fresh.Ended(at, bad, run(fmt.Sprint("new-", i), at))
	}
	put := Logged(again.Add(2*time.Second), fresh.All(again.Add(2 * time.Second))[0])
	commands := []*wire.QuarantineCommand{
		{Put: old, AtMs: uint64(start.UnixMilli())}, {Lift: bad.Key[:], AtMs: uint64(lifted.UnixMilli())},
		{Put: old, AtMs: uint64(lifted.UnixMilli())}, {Put: put, AtMs: uint64(again.UnixMilli())},
	}
	replayed, late := NewTable(DefaultSettings()), again.Add(5*time.Minute)
	for i, c := range commands {
		changed := m.Apply(c).Changed
		assert.Equal(t, changed, i != 2)
		if changed {
			replayed.Learn(late, Decided(late, c))
		}
	}
	v := replayed.Judge(late, bad.Key)
	assert.Equal(t, v.Standing, Quarantined)
	assert.DeepEqual(t, v.Upstreams, []string{"new-0", "new-1", "new-2"})
}

// One team fills the log with its own: it loses its own oldest.
func TestLogIsBoundedByTeam(t *testing.T) {
	m := &Machine{}
	add := func(team string, i int) {
		s := subject(team, fmt.Sprint(i))
		m.Apply(&wire.QuarantineCommand{Put: &wire.LoggedQuarantine{Request: &wire.Suspicion{Key: s.Key[:], Team: team}, UntilMs: 1, EndedMs: 1}})
	}
	add("b", 0)
	for i := range 2 * mostLogged {
		add("a", i)
	}
	assert.Equal(t, len(m.logged), mostLoggedOfTeam+1)
	b := subject("b", "0")
	assert.Assert(t, m.Get(b.Key[:]) != nil)
	for i := range 4 * mostLogged {
		add(fmt.Sprint("t", i%100), i)
	}
	assert.Equal(t, len(m.logged), mostLogged)
}
