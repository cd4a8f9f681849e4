package outage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

const (
	ms       = time.Millisecond
	formTime = 600 * ms
)

// group drives a Tracker in virtual time.
type group struct {
	Tracker
	now time.Time
	obs Observation
}

// newGroup returns a group of 72 ranks that serves.
func newGroup() *group {
	g := &group{now: start, obs: Observation{Ranks: 72, Size: 72, Registrations: 72}}
	g.Observe(g.now, g.obs)
	return g
}

// at applies a change at a time since the start.
func (g *group) at(d time.Duration, change func(*Observation)) {
	g.now = start.Add(d)
	change(&g.obs)
	g.Observe(g.now, g.obs)
}

// expect checks the forecast at a time since the start; earliest and expected are also since the
// start.
func (g *group) expect(t *testing.T, at, earliest, expected time.Duration, returning bool) {
	t.Helper()
	f, down := g.Forecast(start.Add(at), formTime)
	assert.Assert(t, down)
	assert.Equal(t, f.Earliest.Sub(start), earliest)
	assert.Equal(t, f.Expected.Sub(start), expected)
	assert.Equal(t, f.Returning, returning)
}

func breaks(o *Observation)      { o.Down = true }
func forms(o *Observation)       { o.Down = false }
func lose(o *Observation)        { o.Ranks = 48 }
func registerOne(o *Observation) { o.Ranks++; o.Registrations++ }

// restart is the registration of a rank that was lost for less than its lease.
func restart(o *Observation) { o.Registrations++ }

// Guards against holding requests for, or aiming callers at, a time before which no group can have
// formed: while ranks are missing, and within the form time of the last registration.
func TestNoGroupFormsBeforeItsFormTime(t *testing.T) {
	g := newGroup()
	_, down := g.Forecast(start, formTime)
	assert.Assert(t, !down)
	g.at(0, breaks)
	g.expect(t, 0, formTime, restartTime+registerTime+formTime, false)
	g.at(3300*ms, lose)
	// The ranks that a lapsed lease shows to be missing have been lost for longer than a restart takes.
	g.expect(t, 3300*ms, 3900*ms, 6600*ms, false)
	g.expect(t, 5*time.Second, 5600*ms, 10*time.Second, false)
	g.at(5700*ms, registerOne)
	g.expect(t, 5800*ms, 6400*ms, 5700*ms+registerTime+formTime+newsTime, true)
	for i := range 23 {
		g.at(5700*ms+time.Duration(i+1)*40*ms, registerOne)
	}
	// All are registered: the time is known from the last one.
	g.expect(t, 6700*ms, 6620*ms+formTime, 6620*ms+formTime+newsTime, true)
	// It is overdue, as if a registered rank didn't respond.
	g.expect(t, 8*time.Second, 8*time.Second, 16*time.Second, false)
	g.at(8100*ms, forms)
	_, down = g.Forecast(g.now, formTime)
	assert.Assert(t, !down)
	g.at(20*time.Second, breaks)
	f, _ := g.Forecast(g.now, 0)
	assert.Equal(t, f.Earliest.Sub(g.now), DefaultFormTime, "the configuration doesn't tell the form time")
}

// Guards against taking the restart of one rank, which registers before its lease has lapsed, for an
// outage of unknown duration, and against taking the first of many that restart together for the last.
func TestRestartWithinTheLease(t *testing.T) {
	g := newGroup()
	g.at(0, breaks)
	g.at(1500*ms, restart)
	g.expect(t, 1500*ms, 2100*ms, 2300*ms, true)

	all := newGroup()
	all.at(0, breaks)
	all.at(700*ms, restart)
	all.at(800*ms, restart)
	all.expect(t, 800*ms, 1400*ms, 700*ms+registerTime+formTime+newsTime, true)
}

// Guards against forecasts that ignore what earlier outages of the group have shown: that of a lost
// failure domain takes three times as long as a restart.
func TestEarlierOutagesTell(t *testing.T) {
	g := newGroup()
	for _, d := range []time.Duration{7 * time.Second, 2400 * ms, 7 * time.Second} {
		began := g.now.Sub(start) + 10*time.Second
		g.at(began, breaks)
		g.at(began+d, forms)
	}
	began := g.now.Sub(start) + 10*time.Second
	g.at(began, breaks)
	g.expect(t, began, began+formTime, began+7*time.Second, false)
	g.expect(t, began+3*time.Second, began+3*time.Second, began+7*time.Second, false)
	// It is longer than any before.
	g.expect(t, began+8*time.Second, began+8*time.Second, began+16*time.Second, false)
	assert.Equal(t, len(g.history), 3)
	for range 2 * maxHistory {
		g.at(g.now.Sub(start)+10*time.Second, forms)
		g.at(g.now.Sub(start)+10*time.Second, breaks)
	}
	assert.Equal(t, len(g.history), maxHistory, "the history grows without bound")
}

// Guards against a gateway that starts during an outage and remembers the rest of it as a short one.
func TestOutageOfUnknownStartIsNotRemembered(t *testing.T) {
	g := &group{now: start, obs: Observation{Down: true, Ranks: 48, Size: 72, Registrations: 72}}
	g.Observe(g.now, g.obs)
	g.expect(t, 0, formTime, restartTime+registerTime+formTime, false)
	g.at(time.Second, forms)
	g.at(20*time.Second, breaks)
	assert.Equal(t, len(g.history), 0)
	g.at(22*time.Second, forms)
	g.at(40*time.Second, breaks)
	assert.DeepEqual(t, g.history, []time.Duration{2 * time.Second})
}

// Guards against a group that forms and breaks at once: it needs its form time anew, and its outages
// aren't remembered as several short ones.
func TestGroupFormsAndBreaksAgain(t *testing.T) {
	g := newGroup()
	g.at(0, breaks)
	g.at(1200*ms, restart)
	g.at(1800*ms, forms)
	g.at(2000*ms, breaks)
	f, down := g.Forecast(g.now, formTime)
	assert.Assert(t, down && f.DownSince.Equal(start))
	assert.Equal(t, f.Earliest.Sub(start), 2600*ms)
	assert.Assert(t, !f.Returning, "the registration was before it broke again")
	g.at(5*time.Second, forms)
	g.at(20*time.Second, breaks)
	assert.DeepEqual(t, g.history, []time.Duration{5 * time.Second})
}

// Guards against ranks that count as missing for good after a group was made smaller, and against a
// group without any registered rank that counts as complete.
func TestSizeOfGroupChanges(t *testing.T) {
	g := newGroup()
	g.at(time.Second, func(o *Observation) { o.Ranks, o.Size = 24, 24 })
	g.at(2*time.Second, breaks)
	assert.Equal(t, g.Missing(), 0)
	g.at(3*time.Second, func(o *Observation) { *o = Observation{Down: true} })
	assert.Equal(t, g.Missing(), 24)
}

// A service of two groups recovers with the first of them, and its outage began when the second one
// went down.
func TestServiceRecoversWithItsFirstGroup(t *testing.T) {
	a := Forecast{DownSince: start, Earliest: start.Add(5 * time.Second), Expected: start.Add(6 * time.Second)}
	b := Forecast{DownSince: start.Add(time.Second), Earliest: start.Add(2 * time.Second), Expected: start.Add(9 * time.Second)}
	for _, f := range []Forecast{a.Sooner(b), b.Sooner(a)} {
		assert.DeepEqual(t, f, Forecast{DownSince: b.DownSince, Earliest: b.Earliest, Expected: a.Expected})
	}
}

// Operators see what a forecast was made of.
func TestDescribe(t *testing.T) {
	f := Forecast{DownSince: start, Earliest: start.Add(4 * time.Second), Expected: start.Add(7 * time.Second), Missing: 24}
	now := start.Add(3 * time.Second)
	assert.Equal(t, f.Describe(now), "down for 3000 ms, 24 ranks missing, recovery in 1000 ms at the earliest, expected in 4000 ms")
	f.Returning = true
	assert.Assert(t, f.Describe(now) != "")
	f.Missing = 0
	assert.Equal(t, f.Describe(now), "down for 3000 ms, ranks registered, recovery in 1000 ms at the earliest, expected in 4000 ms")
}
