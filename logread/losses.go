package logread

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// CauseCounter counts requests by cause in windows of time.
type CauseCounter struct {
	window  time.Duration
	windows map[time.Time]*Window
}

// Window has the counts of the requests that ended in a window of time.
type Window struct {
	From time.Time `json:"from"`
	// Ended is the number of lines of ended requests, LeftOut the number of such lines left out of the
	// log.
	Ended   int           `json:"ended"`
	LeftOut int64         `json:"left_out"`
	Causes  map[Cause]int `json:"causes"`
}

// NewCauseCounter returns a counter with windows of the given length.
func NewCauseCounter(window time.Duration) *CauseCounter {
	return &CauseCounter{window: window, windows: map[time.Time]*Window{}}
}

// Add counts a request.
func (s *CauseCounter) Add(e *EndedRequest) {
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

// Windows returns the windows in which requests ended, in order of time.
func (s *CauseCounter) Windows() []*Window {
	return slices.SortedFunc(maps.Values(s.windows), func(a, b *Window) int { return a.From.Compare(b.From) })
}

// Total returns the counts over all windows. Its From is that of the first one.
func (s *CauseCounter) Total() *Window {
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

// CausesByCount returns the causes in a window, the most frequent first.
func (w *Window) CausesByCount() []Cause {
	return slices.SortedFunc(maps.Keys(w.Causes), func(a, b Cause) int {
		return cmp.Or(cmp.Compare(w.Causes[b], w.Causes[a]), cmp.Compare(a, b))
	})
}
