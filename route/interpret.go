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
	// slowRank is the pace from which on an upstream is left out, and mostSlow the part
	// of the candidates above which being slow is the usual.
	slowRank = 1.2
	mostSlow = 1.0 / 3
)

// SurveyedLoad is the load of one upstream in a survey.
type SurveyedLoad struct {
	ID string
	// Requests are those that run or wait there.
	Requests int
	// Pace is how many times as long as usual it takes for the same work.
	Pace float64
	// Age is how long ago that was so.
	Age time.Duration
}

// Survey is the load of all upstreams, as one observer has read it.
type Survey struct {
	Loads []SurveyedLoad
	// Entries is how many entries send to these upstreams.
	Entries int
	// Seq orders surveys and the loads that come with answers.
	Seq uint64
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
// upstreams that are below it, and each entry chooses among those by chance, in
// proportion to what is missing to the level.
type LoadInterpretation struct {
	LeastLoaded
	surveyed time.Time
	entries  int
	// sent is the exponentially decaying number of own requests, as of sentAt.
	sent   float64
	sentAt time.Time

	loads, missing []float64
}

// Survey implements Surveyed.
func (b *LoadInterpretation) Survey(now time.Time, v *Survey) {
	b.surveyed, b.entries = now, max(v.Entries, 1)
	for _, l := range v.Loads {
		if s := b.byID[l.ID]; s != nil {
			s.slowness = l.Pace
			s.survey(now.Add(-l.Age), now, l.Requests, v.Seq)
		}
	}
}

// Pick implements Balancer.
func (b *LoadInterpretation) Pick(now time.Time, r *Request) (Choice, bool) {
	b.count(now)
	if b.surveyed.IsZero() || now.Sub(b.surveyed) > surveyLife {
		return b.LeastLoaded.Pick(now, r)
	}
	list := quick(b.sample(now, r, len(b.order)))
	if len(list) == 0 {
		return b.LeastLoaded.Pick(now, r)
	}
	c := contest{best: b.draw(now, list), others: len(list) > 1}
	return b.choose(now, r, &c)
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
		if s.slowness < slowRank {
			n++
		}
	}
	if float64(len(list)-n) > mostSlow*float64(len(list)) {
		return list
	}
	return slices.DeleteFunc(list, func(s *state) bool { return s.slowness >= slowRank })
}

// draw chooses by chance, in proportion to what is missing to the level.
func (b *LoadInterpretation) draw(now time.Time, list []*state) *state {
	b.loads, b.missing = b.loads[:0], b.missing[:0]
	age := 0.0
	for _, s := range list {
		b.loads = append(b.loads, float64(s.requests())/(float64(s.width())*s.share(now)))
		age += max(now.Sub(s.made).Seconds(), 0) / float64(len(list))
	}
	// What the entries send from now on until this one hears of it, in slots.
	coming := max(b.sent/rateMemory.Seconds()*float64(b.entries)*age, 1)
	slots := 0.0
	for _, s := range list {
		slots += float64(s.width())
	}
	level := fillLevel(b.loads, coming*float64(len(list))/slots)
	sum := 0.0
	for i, s := range list {
		d := max(level-b.loads[i], 0) * float64(s.width()) * s.share(now)
		b.missing = append(b.missing, d)
		sum += d
	}
	at := b.rnd.Float64() * sum
	for i, d := range b.missing {
		if at < d {
			return list[i]
		}
		at -= d
	}
	return list[len(list)-1]
}

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
