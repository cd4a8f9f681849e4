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
		Doc: "water-filling by a survey of all upstreams and the expected requests of all entries; least-loaded without a survey",
		New: func() any {
			return &LoadInterpretation{LeastLoaded: LeastLoaded{pool: newPool(), choices: defaultChoices}}
		},
	})
}

const (
	// surveyMaxAge is the maximum age of a survey for routing. Without a younger one,
	// requests are routed by the loads that come with responses.
	surveyMaxAge = time.Second
	// rateTimeConstant is the time constant of the decaying count of this entry's
	// requests.
	rateTimeConstant = time.Second
	// maxSlowShare is the maximum share of the candidates that may be left out as slow.
	maxSlowShare = 1.0 / 3
)

// SurveyedLoad is the load of one upstream in a survey.
type SurveyedLoad struct {
	// ID is the upstream's.
	ID string
	// Requests is the number of its running and waiting requests.
	Requests int
	// Slow is true if the upstream takes longer than usual for the same work.
	Slow bool
	// Age is the age of this load.
	Age time.Duration
}

// Survey is the load of all upstreams as read by a single observer.
type Survey struct {
	Loads []SurveyedLoad
	// Entries is the number of entries that send to these upstreams, Index the
	// zero-based index of this entry among them.
	Entries, Index int
	// Seq orders the loads of the survey relative to loads in responses.
	Seq uint64
	// Number is the survey's number; it is the same at all entries.
	Number uint64
}

// Offset returns this entry's offset in [0, 1). The offsets of all entries are evenly
// spaced, and each survey rotates them by the same amount.
func (s *Survey) Offset() float64 { return entryOffset(s.Index, s.Entries, s.Number) }

func entryOffset(index, entries int, number uint64) float64 {
	offset := (float64(index)+0.5)/float64(max(entries, 1)) + float64(number%rotationPeriod)*goldenRatio
	return offset - math.Floor(offset)
}

// SurveyReceiver is implemented by balancers that use surveys.
type SurveyReceiver interface {
	Survey(now time.Time, s *Survey)
}

// LoadInterpretation distributes requests by a survey of all upstreams that is a few
// tenths of a second old (Dahlin: Interpreting Stale Load Information, 2000).
//
// Where many entries send to many upstreams, an entry uses each upstream too rarely to
// know its load from responses; and if all entries chose the least loaded upstream of a
// common survey, it would get all requests until the next one. Instead, each entry
// estimates how many requests all entries send between two surveys. Water-filling gives
// the level to which these requests raise the upstreams below it, and thus the share
// of each. The shares are laid out one after the other on the interval [0, 1), in the
// same order at all entries, and each entry starts at another position: so the
// requests of all entries spread evenly over the shares (stratified sampling).
type LoadInterpretation struct {
	LeastLoaded
	// lastSurvey is when the last survey arrived.
	lastSurvey time.Time
	// surveyInterval is the smoothed time between two surveys.
	surveyInterval time.Duration
	// entries, entryIndex and surveyNumber are those of the last survey.
	entries      int
	entryIndex   int
	surveyNumber uint64
	// ownRequests is the exponentially decaying count of this entry's requests as of
	// ownRequestsAt.
	ownRequests   float64
	ownRequestsAt time.Time

	// allocation is computed for the first request after a survey or an update; picks counts
	// the positions used since the survey.
	allocation allocation
	picks      int
}

// allocation holds the requests that each upstream should get until the next survey.
type allocation struct {
	candidates []*candidate
	// cumulative holds the running total of the requests, by upstream.
	cumulative []float64
}

// goldenRatio is the step between the positions of an entry's successive requests. Its
// multiples modulo 1 are spread evenly for any number of requests.
const goldenRatio = 0.6180339887

// rotationPeriod bounds the factor of goldenRatio, so that the product keeps its
// precision.
const rotationPeriod = 1 << 20

// Survey implements SurveyReceiver.
func (b *LoadInterpretation) Survey(now time.Time, v *Survey) {
	if since := now.Sub(b.lastSurvey); since < surveyMaxAge {
		b.surveyInterval += (since - b.surveyInterval) / 4
	}
	b.lastSurvey, b.entries, b.entryIndex = now, max(v.Entries, 1), v.Index
	b.surveyNumber, b.allocation, b.picks = v.Number, allocation{}, 0
	for _, l := range v.Loads {
		if s := b.byID[l.ID]; s != nil {
			s.slow, s.surveyedRequests = l.Slow, l.Requests
			s.applySurvey(now.Add(-l.Age), now, l.Requests, v.Seq)
		}
	}
}

// SetUpstreams implements Balancer.
func (b *LoadInterpretation) SetUpstreams(now time.Time, ups []Upstream) {
	b.LeastLoaded.SetUpstreams(now, ups)
	b.allocation = allocation{}
}

// Pick implements Balancer.
func (b *LoadInterpretation) Pick(now time.Time, r *Request) (Choice, bool) {
	b.recordRequest(now)
	if b.lastSurvey.IsZero() || now.Sub(b.lastSurvey) > surveyMaxAge {
		return b.LeastLoaded.Pick(now, r)
	}
	if b.allocation.candidates == nil {
		b.allocation = b.allocate(now)
	}
	for range b.allocation.candidates {
		s := b.allocation.candidateAt(b.nextPosition())
		if !r.Exclude[s.ID] && b.usable(now, s) {
			c := selection{best: s, hasAlternative: len(b.allocation.candidates) > 1}
			return b.startBest(now, r, &c)
		}
	}
	return b.LeastLoaded.Pick(now, r)
}

// nextPosition returns the position of this entry's next request, in [0, 1). It depends
// on the survey's number, so that an entry that rarely sends does not always use the
// same upstream.
func (b *LoadInterpretation) nextPosition() float64 {
	position := entryOffset(b.entryIndex, b.entries, b.surveyNumber) + float64(b.picks)*goldenRatio
	b.picks++
	return position - math.Floor(position)
}

// recordRequest adds a request to ownRequests.
func (b *LoadInterpretation) recordRequest(now time.Time) {
	b.ownRequests = b.ownRequests*math.Exp(-now.Sub(b.ownRequestsAt).Seconds()/rateTimeConstant.Seconds()) + 1
	b.ownRequestsAt = now
}

// excludeSlow removes the slow upstreams, unless more than maxSlowShare are slow. In a
// group that runs in lock-step, each request given to a straggler delays the passes of
// all ranks.
func excludeSlow(list []*candidate) []*candidate {
	fast := 0
	for _, s := range list {
		if !s.slow {
			fast++
		}
	}
	if float64(len(list)-fast) > maxSlowShare*float64(len(list)) {
		return list
	}
	return slices.DeleteFunc(list, func(s *candidate) bool { return s.slow })
}

// allocate computes how many requests each upstream should get until the next survey,
// from the loads in the last one. Requests that this entry has sent since are not added
// to the loads: they are part of the allocation. The call of usable also moves
// upstreams from ejected to probing.
func (b *LoadInterpretation) allocate(now time.Time) allocation {
	list := slices.Clone(b.candidates)
	list = excludeSlow(slices.DeleteFunc(list, func(s *candidate) bool { return !b.usable(now, s) }))
	slices.SortFunc(list, func(a, b *candidate) int { return cmp.Compare(a.ID, b.ID) })
	loads := make([]float64, len(list))
	age, slots := 0.0, 0.0
	for i, s := range list {
		loads[i] = float64(s.surveyedRequests) / s.effectiveCapacity(now)
		age += max(now.Sub(s.loadTime).Seconds(), 0) / float64(len(list))
		slots += s.effectiveCapacity(now)
	}
	// expected is the number of requests that all entries send from the time of the
	// loads until the next survey.
	expected := max(b.ownRequests/rateTimeConstant.Seconds()*float64(b.entries)*(age+b.surveyInterval.Seconds()), 1)
	level := waterFillLevel(loads, expected*float64(len(list))/max(slots, 1))
	a := allocation{candidates: list}
	total := 0.0
	for i, s := range list {
		total += max(level-loads[i], 0) * s.effectiveCapacity(now)
		a.cumulative = append(a.cumulative, total)
	}
	return a
}

// candidateAt returns the upstream at a position in [0, 1).
func (a allocation) candidateAt(position float64) *candidate {
	i, _ := slices.BinarySearch(a.cumulative, position*a.cumulative[len(a.cumulative)-1])
	return a.candidates[min(i, len(a.candidates)-1)]
}

// effectiveCapacity returns the upstream's capacity, reduced during slow start.
func (s *candidate) effectiveCapacity(now time.Time) float64 {
	return float64(s.capacity()) * s.slowStartShare(now)
}

// waterFillLevel returns the level up to which the loads must be raised to add the
// given amount in total.
func waterFillLevel(loads []float64, amount float64) float64 {
	sorted := slices.Clone(loads)
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
