package logread

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Losses counts requests by what became of them, for each window of time.
type Losses struct {
	window  time.Duration
	windows map[time.Time]*Window
}

// Window is what became of the requests that ended in some time.
type Window struct {
	From time.Time `json:"from"`
	// Ended is how many lines there are of such requests, LeftOut how many were not written.
	Ended   int           `json:"ended"`
	LeftOut int64         `json:"left_out"`
	Causes  map[Cause]int `json:"causes"`
}

// NewLosses counts by windows of some length.
func NewLosses(window time.Duration) *Losses {
	return &Losses{window: window, windows: map[time.Time]*Window{}}
}

// Add counts a request.
func (s *Losses) Add(e *Ended) {
	from := e.At.Truncate(s.window)
	w := s.windows[from]
	if w == nil {
		w = &Window{From: from, Causes: map[Cause]int{}}
		s.windows[from] = w
	}
	w.Ended++
	w.LeftOut += e.LeftOut
	w.Causes[e.Cause()]++
}

// Windows are those in which requests have ended, in order of time.
func (s *Losses) Windows() []*Window {
	return slices.SortedFunc(maps.Values(s.windows), func(a, b *Window) int { return a.From.Compare(b.From) })
}

// Total is what became of all requests.
func (s *Losses) Total() *Window {
	sum := &Window{Causes: map[Cause]int{}}
	for _, w := range s.Windows() {
		if sum.From.IsZero() {
			sum.From = w.From
		}
		sum.Ended += w.Ended
		sum.LeftOut += w.LeftOut
		for c, n := range w.Causes {
			sum.Causes[c] += n
		}
	}
	return sum
}

// ByNumber are the causes of a window, the most frequent first.
func (w *Window) ByNumber() []Cause {
	return slices.SortedFunc(maps.Keys(w.Causes), func(a, b Cause) int {
		return cmp.Or(cmp.Compare(w.Causes[b], w.Causes[a]), cmp.Compare(a, b))
	})
}
