package route

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/snipereach/snipereach/kernel"
)

func init() {
	kernel.Register(kernel.Module{
		ID:  "route.load-interpretation",
		Doc: "upstreams that are below the level to which all entries' requests will fill them; least-loaded without a survey",
		New: func() any {
			return &LoadInterpretation{LeastLoaded: LeastLoaded{pool: newPool(), choices: defaultChoices}}
		},
	})
}

const (
	// surveyLife is how long a survey is worth more than loads that come with answers:
	// five times the period of surveys.
	surveyLife = time.Second
	// rateMemory is the time over which an entry's own requests are counted.
	rateMemory = time.Second
	// mostSlow is the part of the candidates above which being slow is the usual.
	mostSlow = 1.0 / 3
)

// SurveyedLoad is the load of one upstream in a survey.
type SurveyedLoad struct {
	ID string
	// Requests are those that run or wait there.
	Requests int
	// Slow says that it takes longer than usual for the same work.
	Slow bool
	// Age is how long ago that was so.
	Age time.Duration
}

// Survey is the load of all upstreams, as one observer has read it.
type Survey struct {
	Loads []SurveyedLoad
	// Entries is how many entries send to these upstreams, and Index the place of this
	// one among them, from 0.
	Entries, Index int
	// Seq orders surveys and the loads that come with answers.
	Seq uint64
	// Number is the same at all entries.
	Number uint64
}

// Turn is the place of this entry among all, from 0 to 1. Those of all entries are evenly apart, and
// each survey turns them alike.
func (s *Survey) Turn() float64 { return turn(s.Index, s.Entries, s.Number) }

func turn(index, entries int, number uint64) float64 {
	at := (float64(index)+0.5)/float64(max(entries, 1)) + float64(number%surveyTurns)*goldenRatio
	return at - math.Floor(at)
}

// Surveyed is a balancer that takes surveys.
type Surveyed interface {
	Survey(now time.Time, s *Survey)
}

// LoadInterpretation spreads requests by a survey of all upstreams that is some tenths
// of a second old (Dahlin: Interpreting Stale Load Information, 2000).
//
// The pattern that it answers: forty entries send to seventy upstreams, each pair meets
// once in ten seconds while a request runs for two, so an entry knows of no load by its
// own answers; and if all went to the least loaded of a common survey, that one would
// get all requests until the next. Each entry knows about how many requests all entries
// send between two surveys. Water-filling gives the level to which these fill the
// upstreams that are below it, and what each of them is to get. All entries make the same
// line out of these parts, and each begins at another place on it: so their requests
// fall on it evenly (stratified sampling), and not by chance on few.
type LoadInterpretation struct {
	LeastLoaded
	surveyed time.Time
	// interval is the smoothed time between two surveys.
	interval time.Duration
	entries  int
	// index is the entry's place among all, number that of the survey.
	index  int
	number uint64
	// sent is the exponentially decaying number of own requests, as of sentAt.
	sent   float64
	sentAt time.Time

	// line is made with the first request after a survey; picks counts those since.
	line  line
	picks int
}

// line is what upstreams are to get until the next survey, one after the other.
type line struct {
	ups  []*state
	ends []float64
}

// goldenRatio spreads an entry's further requests over the line: the parts of a whole
// that its multiples leave are even, however many there are.
const goldenRatio = 0.6180339887

// surveyTurns keeps the product small enough to be exact.
const surveyTurns = 1 << 20

// Survey implements Surveyed.
func (b *LoadInterpretation) Survey(now time.Time, v *Survey) {
	if since := now.Sub(b.surveyed); since < surveyLife {
		b.interval += (since - b.interval) / 4
	}
	b.surveyed, b.entries, b.index = now, max(v.Entries, 1), v.Index
	b.number, b.line, b.picks = v.Number, line{}, 0
	for _, l := range v.Loads {
		if s := b.byID[l.ID]; s != nil {
			s.slow, s.surveyed = l.Slow, l.Requests
			s.survey(now.Add(-l.Age), now, l.Requests, v.Seq)
		}
	}
}

// Update implements Balancer.
func (b *LoadInterpretation) Update(now time.Time, ups []Upstream) {
	b.LeastLoaded.Update(now, ups)
	b.line = line{}
}

// Pick implements Balancer.
func (b *LoadInterpretation) Pick(now time.Time, r *Request) (Choice, bool) {
	b.count(now)
	if b.surveyed.IsZero() || now.Sub(b.surveyed) > surveyLife {
		return b.LeastLoaded.Pick(now, r)
	}
	if b.line.ups == nil {
		b.line = b.drawLine(now)
	}
	for range b.line.ups {
		s := b.line.at(b.next())
		if !r.Exclude[s.ID] && b.usable(now, s) {
			c := contest{best: s, others: len(b.line.ups) > 1}
			return b.choose(now, r, &c)
		}
	}
	return b.LeastLoaded.Pick(now, r)
}

// next is where on the line the entry's next request falls, from 0 to 1. Each survey
// turns the places of all entries alike: one that sends seldom doesn't always send to
// the same upstream.
func (b *LoadInterpretation) next() float64 {
	at := turn(b.index, b.entries, b.number) + float64(b.picks)*goldenRatio
	b.picks++
	return at - math.Floor(at)
}

// count counts an own request.
func (b *LoadInterpretation) count(now time.Time) {
	b.sent = b.sent*math.Exp(-now.Sub(b.sentAt).Seconds()/rateMemory.Seconds()) + 1
	b.sentAt = now
}

// quick leaves out the upstreams that are slow, unless many are: in a group that runs in
// lock-step what one slow rank is given holds up the passes of all.
func quick(list []*state) []*state {
	n := 0
	for _, s := range list {
		if !s.slow {
			n++
		}
	}
	if float64(len(list)-n) > mostSlow*float64(len(list)) {
		return list
	}
	return slices.DeleteFunc(list, func(s *state) bool { return s.slow })
}

// drawLine says what each upstream is to get until the next survey. It goes by the
// survey alone: an entry's own requests since are the next places on the line. To ask
// whether an upstream is usable also ends its ejection when that is over.
func (b *LoadInterpretation) drawLine(now time.Time) line {
	list := slices.Clone(b.list)
	list = quick(slices.DeleteFunc(list, func(s *state) bool { return !b.usable(now, s) }))
	slices.SortFunc(list, func(a, b *state) int { return cmp.Compare(a.ID, b.ID) })
	loads := make([]float64, len(list))
	age, slots := 0.0, 0.0
	for i, s := range list {
		loads[i] = float64(s.surveyed) / s.room(now)
		age += max(now.Sub(s.made).Seconds(), 0) / float64(len(list))
		slots += s.room(now)
	}
	// What all entries send from the time of the survey to the next one.
	coming := max(b.sent/rateMemory.Seconds()*float64(b.entries)*(age+b.interval.Seconds()), 1)
	level := fillLevel(loads, coming*float64(len(list))/max(slots, 1))
	l := line{ups: list}
	end := 0.0
	for i, s := range list {
		end += max(level-loads[i], 0) * s.room(now)
		l.ends = append(l.ends, end)
	}
	return l
}

// at is the upstream at a place of the line, from 0 to 1.
func (l line) at(place float64) *state {
	i, _ := slices.BinarySearch(l.ends, place*l.ends[len(l.ends)-1])
	return l.ups[min(i, len(l.ups)-1)]
}

// room is how many requests an upstream runs at once, less while it has just started.
func (s *state) room(now time.Time) float64 { return float64(s.width()) * s.share(now) }

// fillLevel is the level to which an amount fills vessels that already hold some.
func fillLevel(held []float64, amount float64) float64 {
	sorted := slices.Clone(held)
	slices.SortFunc(sorted, cmp.Compare[float64])
	sum := 0.0
	for i, v := range sorted {
		sum += v
		level := (sum + amount) / float64(i+1)
		if i+1 == len(sorted) || level <= sorted[i+1] {
			return level
		}
	}
	return 0
}
