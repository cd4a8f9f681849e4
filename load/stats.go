package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxMicros is the highest value of the histograms, in microseconds.
	maxMicros = int64(10 * time.Minute / time.Microsecond)
	sigDigits = 3
	// The timeline is divided into about maxBuckets buckets of at least
	// minBucketWidth.
	maxBuckets      = 200
	minBucketWidth  = time.Second
	bucketSigDigits = 2
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicros, sigDigits) }

// recordDuration adds a duration to a histogram, clamped to its range.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicros))
}

// classStats holds the results of one class.
type classStats struct {
	first, whole, tokenGap *hdrhistogram.Histogram
	outcomes               map[Outcome]int
	reasons                map[string]int
	verdicts               map[Verdict]int
	resent, replayed       int
	buckets                []*bucket
}

// bucket holds the results of the requests whose intended start is in one interval
// of the run.
type bucket struct {
	whole    *hdrhistogram.Histogram
	outcomes map[Outcome]int
}

type stats struct {
	mu          sync.Mutex
	classes     map[*Class]*classStats
	bucketWidth time.Duration
}

func newStats(s *Settings) *stats {
	st := &stats{classes: map[*Class]*classStats{}, bucketWidth: max(minBucketWidth, s.Duration.D()/maxBuckets)}
	count := int(s.Duration.D()/st.bucketWidth) + 1
	for i := range s.Class {
		st.classes[&s.Class[i]] = &classStats{
			first: newHistogram(), whole: newHistogram(), tokenGap: newHistogram(),
			outcomes: map[Outcome]int{}, reasons: map[string]int{}, verdicts: map[Verdict]int{},
			buckets: make([]*bucket, count),
		}
	}
	return st
}

// add records the result of a request.
func (s *stats) add(c *call, rep attemptResult, attempts int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cs := s.classes[c.Class]
	p := cs.bucket(int(c.Due / s.bucketWidth))
	cs.outcomes[rep.outcome]++
	p.outcomes[rep.outcome]++
	if rep.reason != "" {
		cs.reasons[string(rep.outcome)+" "+rep.reason]++
	}
	if rep.verdict != "" {
		cs.verdicts[rep.verdict]++
	}
	cs.resent += max(attempts-1, 0)
	if rep.replayed {
		cs.replayed++
	}
	if rep.outcome != Answered {
		return
	}
	recordDuration(cs.first, rep.first.Sub(c.due))
	recordDuration(cs.whole, now.Sub(c.due))
	recordDuration(p.whole, now.Sub(c.due))
	for _, g := range rep.gaps {
		recordDuration(cs.tokenGap, g)
	}
}

func (cs *classStats) bucket(i int) *bucket {
	if cs.buckets[i] == nil {
		cs.buckets[i] = &bucket{whole: hdrhistogram.New(1, maxMicros, bucketSigDigits), outcomes: map[Outcome]int{}}
	}
	return cs.buckets[i]
}

func (s *stats) totals() map[Outcome]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := map[Outcome]int{}
	for _, cs := range s.classes {
		for o, n := range cs.outcomes {
			t[o] += n
		}
	}
	return t
}

// wrongAnswers returns the number of answers that failed their check.
func (s *stats) wrongAnswers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, cs := range s.classes {
		for v, k := range cs.verdicts {
			if v != Whole {
				n += k
			}
		}
	}
	return n
}
