package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxRecorded bounds the histograms, in microseconds.
	maxRecorded = int64(10 * time.Minute / time.Microsecond)
	precision   = 3
	// The timeline has at most this many pieces, of a second or more each.
	maxPieces      = 200
	minPiece       = time.Second
	piecePrecision = 2
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRecorded, precision) }

// record counts a time; one beyond the bound counts as the bound.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxRecorded))
}

// classStats is what a run saw of one class.
type classStats struct {
	first, whole, gap *hdrhistogram.Histogram
	outcomes          map[Outcome]int
	reasons           map[string]int
	verdicts          map[Verdict]int
	resent, replayed  int
	pieces            []*piece
}

// piece is a stretch of the run, by the intended start of its requests.
type piece struct {
	whole    *hdrhistogram.Histogram
	outcomes map[Outcome]int
}

type stats struct {
	mu      sync.Mutex
	classes map[*Class]*classStats
	length  time.Duration
}

func newStats(s *Settings) *stats {
	st := &stats{classes: map[*Class]*classStats{}, length: max(minPiece, s.Duration.D()/maxPieces)}
	count := int(s.Duration.D()/st.length) + 1
	for i := range s.Class {
		st.classes[&s.Class[i]] = &classStats{
			first: newHistogram(), whole: newHistogram(), gap: newHistogram(),
			outcomes: map[Outcome]int{}, reasons: map[string]int{}, verdicts: map[Verdict]int{},
			pieces: make([]*piece, count),
		}
	}
	return st
}

// add counts the end of a request.
func (s *stats) add(c *call, rep reply, sendings int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cs := s.classes[c.Class]
	p := cs.piece(int(c.Due / s.length))
	cs.outcomes[rep.outcome]++
	p.outcomes[rep.outcome]++
	if rep.reason != "" {
		cs.reasons[string(rep.outcome)+" "+rep.reason]++
	}
	if rep.verdict != "" {
		cs.verdicts[rep.verdict]++
	}
	cs.resent += max(sendings-1, 0)
	if rep.replayed {
		cs.replayed++
	}
	if rep.outcome != Answered {
		return
	}
	record(cs.first, rep.first.Sub(c.due))
	record(cs.whole, now.Sub(c.due))
	record(p.whole, now.Sub(c.due))
	for _, g := range rep.gaps {
		record(cs.gap, g)
	}
}

func (cs *classStats) piece(i int) *piece {
	if cs.pieces[i] == nil {
		cs.pieces[i] = &piece{whole: hdrhistogram.New(1, maxRecorded, piecePrecision), outcomes: map[Outcome]int{}}
	}
	return cs.pieces[i]
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
func (s *stats) wrong() int {
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
