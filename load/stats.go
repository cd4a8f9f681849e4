package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxRecorded bounds the histograms, in microseconds.
	maxRecordedMicros  = int64(10 * time.Minute / time.Microsecond)
	histogramPrecision = 3
	// The timeline has at most this many pieces, of a second or more each.
	maxBuckets      = 200
	minBucketWidth  = time.Second
	bucketPrecision = 2
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedMicros, histogramPrecision)
}

// record counts a time; one beyond the bound counts as the bound.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxRecordedMicros))
}

// classStats is what a run saw of one class.
type classStats struct {
	first, whole, tokenGap *hdrhistogram.Histogram
	outcomes               map[Outcome]int
	reasons                map[string]int
	verdicts               map[Verdict]int
	resent, replayed       int
	buckets                []*bucket
}

// piece is a stretch of the run, by the intended start of its requests.
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

// add counts the end of a request.
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
		cs.buckets[i] = &bucket{whole: hdrhistogram.New(1, maxRecordedMicros, bucketPrecision), outcomes: map[Outcome]int{}}
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

// wrong counts answers that the check didn't pass.
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
