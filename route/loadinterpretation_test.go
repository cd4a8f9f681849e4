package route

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// simulation runs many entries that send to one pool of upstreams, in virtual time.
type simulation struct {
	rnd     *rand.Rand
	entries []Balancer
	// running is the number of running requests by upstream.
	running []int
	pending []simulatedRequest
	seq     uint64
	surveys uint64
	// maxOverMean and deviation are sums over all samples.
	maxOverMean float64
	deviation   float64
	samples     int
}

type simulatedRequest struct {
	at    time.Time
	entry int
	up    Upstream
}

const (
	simSlots = 10
	// simRunTime is the mean run time of a request.
	simRunTime = 1800 * time.Millisecond
	// simSurveyInterval is the time between two surveys, simSurveyDelay the time until
	// a survey reaches the entries.
	simSurveyInterval = 200 * time.Millisecond
	simSurveyDelay    = 80 * time.Millisecond
)

func newSimulation(seed uint64, entries, ups int, newBalancer func() Balancer) *simulation {
	c := &simulation{rnd: rand.New(rand.NewPCG(seed, 1)), running: counters(ups)}
	list := testUpstreams(ups)
	for i := range list {
		list[i].Load = testLoad(1, 0)
		list[i].Load.Slots = simSlots
	}
	for i := range entries {
		b := newBalancer()
		b.(EntryInfoSetter).SetEntryInfo(EntryInfo{ID: fmt.Sprint("entry-", i), FailureDomain: "hall-a", Seed: seed*1000 + uint64(i)})
		b.SetUpstreams(testStart, list)
		c.entries = append(c.entries, b)
	}
	return c
}

func counters(n int) []int { return make([]int, n) }

func (c *simulation) upstreamIndex(id string) (n int) {
	_, _ = fmt.Sscanf(id, "up-%d", &n)
	return n
}

// run sends requests for the given time. After the first third, it takes a sample of the
// upstreams' loads at each survey.
func (c *simulation) run(perSecond float64, seconds int) {
	end := testStart.Add(time.Duration(seconds) * time.Second)
	nextSurvey := testStart
	for now := testStart; now.Before(end); {
		now = now.Add(time.Duration(c.rnd.ExpFloat64() / perSecond * float64(time.Second)))
		c.endRequests(now)
		if now.After(nextSurvey) {
			nextSurvey = now.Add(simSurveyInterval)
			c.sendSurvey(now)
			if now.Sub(testStart) > time.Duration(seconds)*time.Second/3 {
				c.sample()
			}
		}
		e := c.rnd.IntN(len(c.entries))
		choice, ok := c.entries[e].Pick(now, &Request{})
		if !ok {
			continue
		}
		i := c.upstreamIndex(choice.ID)
		c.running[i]++
		c.seq++
		l := testLoad(c.seq, c.running[i])
		l.Slots = simSlots
		c.entries[e].(ResponseStartObserver).ResponseStarted(now, choice.Upstream, l, 100*time.Millisecond)
		run := time.Duration(c.rnd.ExpFloat64() * float64(simRunTime))
		c.pending = append(c.pending, simulatedRequest{now.Add(run), e, choice.Upstream})
	}
}

func (c *simulation) endRequests(now time.Time) {
	c.pending = slices.DeleteFunc(c.pending, func(e simulatedRequest) bool {
		if e.at.After(now) {
			return false
		}
		i := c.upstreamIndex(e.up.ID)
		c.seq++
		l := testLoad(c.seq, c.running[i])
		l.Slots = simSlots
		c.running[i]--
		c.entries[e.entry].Done(e.at, e.up, &Request{}, Result{Outcome: success(nil).Outcome, Load: l, Elapsed: simRunTime})
		return true
	})
}

func (c *simulation) sendSurvey(now time.Time) {
	c.seq++
	c.surveys++
	v := &Survey{Entries: len(c.entries), Seq: c.seq, Number: c.surveys}
	for i, n := range c.running {
		v.Loads = append(v.Loads, SurveyedLoad{ID: fmt.Sprintf("up-%d", i), Requests: n})
	}
	for i, b := range c.entries {
		if s, ok := b.(SurveyReceiver); ok {
			own := withAge(v, simSurveyDelay)
			own.Index = i
			s.Survey(now.Add(simSurveyDelay), own)
		}
	}
}

func withAge(v *Survey, age time.Duration) *Survey {
	out := &Survey{Entries: v.Entries, Seq: v.Seq, Number: v.Number, Loads: slices.Clone(v.Loads)}
	for i := range out.Loads {
		out.Loads[i].Age = age
	}
	return out
}

func (c *simulation) sample() {
	sum, squares, highest := 0.0, 0.0, 0.0
	for _, n := range c.running {
		sum += float64(n)
		squares += float64(n * n)
		highest = max(highest, float64(n))
	}
	mean := sum / float64(len(c.running))
	c.deviation += math.Sqrt(max(squares/float64(len(c.running))-mean*mean, 0))
	c.maxOverMean += highest / mean
	c.samples++
}

// means returns the means over all samples of the highest load over the mean load, and of
// the standard deviation of the loads.
func (c *simulation) means() (maxOverMean, deviation float64) {
	return c.maxOverMean / float64(c.samples), c.deviation / float64(c.samples)
}

// With many entries, surveys must spread the load over the ranks of a group more evenly
// than loads in responses do, as the busiest rank determines the duration of a pass.
// With few entries, surveys must not make it much less even.
func TestSurveyEvensLoadOfManyEntries(t *testing.T) {
	simulate := func(entries, ups int, perSecond float64, newBalancer func() Balancer) (maxOverMean, deviation float64) {
		c := newSimulation(1, entries, ups, newBalancer)
		c.run(perSecond, 30)
		return c.means()
	}
	byResponses := func() Balancer { return &LeastLoaded{pool: newPool(), choices: defaultChoices} }
	bySurvey := func() Balancer {
		return &LoadInterpretation{LeastLoaded: LeastLoaded{pool: newPool(), choices: defaultChoices}}
	}
	for _, c := range []struct {
		name         string
		entries, ups int
		perSecond    float64
		// gain is the factor by which surveys must at least reduce the deviation.
		gain float64
	}{{"large", 40, 72, 320, 1.8}, {"small", 6, 16, 72, 0.85}} {
		t.Run(c.name, func(t *testing.T) {
			baseMax, baseDeviation := simulate(c.entries, c.ups, c.perSecond, byResponses)
			surveyMax, surveyDeviation := simulate(c.entries, c.ups, c.perSecond, bySurvey)
			t.Logf("max over mean %.2f, deviation %.2f; without surveys %.2f and %.2f", surveyMax, surveyDeviation, baseMax, baseDeviation)
			assert.Assert(t, surveyDeviation*c.gain < baseDeviation, "deviation %.2f, without surveys %.2f", surveyDeviation, baseDeviation)
			assert.Assert(t, surveyMax < 1.05*baseMax, "max over mean %.2f, without surveys %.2f", surveyMax, baseMax)
		})
	}
}

// A slow rank delays the passes of the whole group: it must get no requests while it is
// slow, and its share again afterwards. If most ranks are slow, none is left out.
func TestSlowRankGetsNoRequests(t *testing.T) {
	b := &LoadInterpretation{LeastLoaded: LeastLoaded{pool: newPool(), choices: defaultChoices}}
	b.SetEntryInfo(EntryInfo{ID: "entry-1", Seed: 1})
	b.SetUpstreams(testStart, testUpstreams(6))
	now, seq := testStart, uint64(10)
	picks := func(slow func(i int) bool) (n [6]int) {
		for range 600 {
			seq++
			now = now.Add(10 * time.Millisecond)
			v := &Survey{Entries: 1, Seq: seq, Number: seq}
			for i := range n {
				v.Loads = append(v.Loads, SurveyedLoad{ID: fmt.Sprintf("up-%d", i), Requests: 2, Slow: slow(i)})
			}
			b.Survey(now, v)
			c, ok := b.Pick(now, &Request{})
			assert.Assert(t, ok)
			n[(&simulation{}).upstreamIndex(c.ID)]++
			b.Done(now, c.Upstream, &Request{}, success(nil))
		}
		return n
	}
	oneSlow := picks(func(i int) bool { return i == 2 })
	assert.Equal(t, oneSlow[2], 0, "%v", oneSlow)
	noneSlow := picks(func(int) bool { return false })
	assert.Assert(t, noneSlow[2] > 50, "%v", noneSlow)
	mostSlow := picks(func(i int) bool { return i < 4 })
	assert.Assert(t, mostSlow[0] > 50, "%v", mostSlow)
}

// After the last survey has expired, requests are routed by loads in responses.
func TestExpiredSurveyIsIgnored(t *testing.T) {
	b := &LoadInterpretation{LeastLoaded: LeastLoaded{pool: newPool(), choices: defaultChoices}}
	b.SetEntryInfo(EntryInfo{ID: "entry-1", Seed: 1})
	ups := testUpstreams(2)
	b.SetUpstreams(testStart, ups)
	b.Survey(testStart, &Survey{Entries: 1, Seq: 5, Loads: []SurveyedLoad{{ID: "up-0", Requests: 0}, {ID: "up-1", Requests: 7}}})
	later := testStart.Add(surveyMaxAge + time.Millisecond)
	for i := range ups {
		b.ResponseStarted(later, ups[i], testLoad(uint64(10+i), []int{8, 1}[i]), time.Millisecond)
	}
	for range 5 {
		c, ok := b.Pick(later, &Request{})
		assert.Assert(t, ok)
		assert.Equal(t, c.ID, "up-1")
		b.Done(later, c.Upstream, &Request{}, Result{CallerGone: true})
	}
}

// For any loads, raising those below the level up to it must add the given amount.
func TestWaterFillLevel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := rapid.SliceOfN(rapid.Float64Range(0, 20), 1, 80).Draw(t, "loads")
		amount := rapid.Float64Range(0.01, 100).Draw(t, "amount")
		level, sum := waterFillLevel(loads, amount), 0.0
		for _, v := range loads {
			sum += max(level-v, 0)
		}
		if math.Abs(sum-amount) > 1e-6*(1+amount) {
			t.Fatalf("raising loads to level %f adds %f, want %f", level, sum, amount)
		}
	})
}

// An ejected rank must be probed after its ejection and get its share again once the
// probe succeeds, also if surveys arrive all the time.
func TestEjectedRankIsProbedDespiteSurveys(t *testing.T) {
	b := &LoadInterpretation{LeastLoaded: LeastLoaded{pool: newPool(), choices: defaultChoices}}
	b.SetEntryInfo(EntryInfo{ID: "entry-1", Seed: 1})
	b.SetUpstreams(testStart, testUpstreams(4))
	const faulty = "up-2"
	now, seq, failures, after := testStart, uint64(10), 0, 0
	for range 1000 {
		now = now.Add(20 * time.Millisecond)
		seq++
		v := &Survey{Entries: 1, Seq: seq, Number: seq}
		for i := range 4 {
			v.Loads = append(v.Loads, SurveyedLoad{ID: fmt.Sprintf("up-%d", i), Requests: 2})
		}
		b.Survey(now, v)
		c, ok := b.Pick(now, &Request{})
		assert.Assert(t, ok)
		switch {
		case c.ID == faulty && failures < failuresToEject:
			failures++
			b.Done(now, c.Upstream, &Request{}, failure)
			continue
		case c.ID == faulty:
			after++
		}
		b.Done(now, c.Upstream, &Request{}, success(nil))
	}
	assert.Equal(t, failures, failuresToEject)
	assert.Assert(t, after > 100, "%d requests after the ejection", after)
}
