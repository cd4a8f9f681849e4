package logread

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// CauseCounter counts requests by cause in windows of time.
type CauseCounter struct {
	window     time.Duration
	byPriority bool
	windows    map[windowKey]*Window
}

// windowKey identifies a window.
type windowKey struct {
	from time.Time
	priority
}

// priority is the priority of a request; the zero value is that of requests without one.
type priority struct {
	known bool
	value uint32
}

func (p priority) compare(q priority) int {
	switch {
	case p.known == q.known:
		return cmp.Compare(p.value, q.value)
	case p.known:
		return -1
	}
	return 1
}

// Window has the counts of the requests that ended in a window of time.
type Window struct {
	From time.Time `json:"from"`
	// Priority is that of the requests; nil if they have none, or if requests of all priorities are
	// counted together.
	Priority *uint32 `json:"priority,omitempty"`
	// Ended is the number of lines of ended requests, LeftOut the number of such lines left out of the
	// log. Lines left out before one of this priority may have been of any.
	Ended   int           `json:"ended"`
	LeftOut int64         `json:"left_out"`
	Causes  map[Cause]int `json:"causes"`
}

// NewCauseCounter returns a counter with windows of the given length.
func NewCauseCounter(window time.Duration) *CauseCounter {
	return &CauseCounter{window: window, windows: map[windowKey]*Window{}}
}

// SplitByPriority makes the counter count the requests of each priority by themselves. It must be called
// before Add.
func (s *CauseCounter) SplitByPriority() { s.byPriority = true }

// Add counts a request.
func (s *CauseCounter) Add(e *EndedRequest) {
	key := windowKey{from: e.At.Truncate(s.window)}
	if s.byPriority && e.Priority != nil {
		key.priority = priority{known: true, value: *e.Priority}
	}
	w := s.windows[key]
	if w == nil {
		w = newWindow(key)
		s.windows[key] = w
	}
	w.Ended++
	w.LeftOut += e.LeftOut
	w.Causes[e.Cause()]++
}

func newWindow(key windowKey) *Window {
	w := &Window{From: key.from, Causes: map[Cause]int{}}
	if key.known {
		w.Priority = &key.value
	}
	return w
}

// Windows returns the windows in which requests ended, in order of time, and those of one time in order
// of priority. Requests without a priority come last.
func (s *CauseCounter) Windows() (list []*Window) {
	for _, key := range s.sortedKeys() {
		list = append(list, s.windows[key])
	}
	return list
}

func (s *CauseCounter) sortedKeys() []windowKey {
	return slices.SortedFunc(maps.Keys(s.windows), func(a, b windowKey) int {
		return cmp.Or(a.from.Compare(b.from), a.priority.compare(b.priority))
	})
}

// Total returns the counts over all windows. Its From is that of the first one.
func (s *CauseCounter) Total() *Window {
	return s.sum(func(windowKey) bool { return true })
}

// TotalsByPriority returns the counts over all windows of each priority that is counted by itself, the
// most urgent first.
func (s *CauseCounter) TotalsByPriority() (list []*Window) {
	found := map[priority]bool{}
	for key := range s.windows {
		found[key.priority] = true
	}
	for _, p := range slices.SortedFunc(maps.Keys(found), priority.compare) {
		sum := s.sum(func(key windowKey) bool { return key.priority == p })
		if p.known {
			sum.Priority = &p.value
		}
		list = append(list, sum)
	}
	return list
}

// sum returns the sum of the windows of some keys.
func (s *CauseCounter) sum(counts func(windowKey) bool) *Window {
	sum := &Window{Causes: map[Cause]int{}}
	for _, key := range s.sortedKeys() {
		if !counts(key) {
			continue
		}
		w := s.windows[key]
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
