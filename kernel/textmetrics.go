package kernel

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
)

// Bounds of a Latency: from a tenth of a millisecond to a minute, to two digits.
const (
	latencyLeast  = 100
	latencyMost   = 60_000_000
	latencyDigits = 2
)

// quantiles that a Latency shows.
var quantiles = []float64{50, 90, 99, 99.9}

// Latency is a histogram of times since the process's start. It is safe for use by
// several goroutines.
type Latency struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// NewLatency makes an empty histogram.
func NewLatency() *Latency {
	return &Latency{h: hdrhistogram.New(latencyLeast, latencyMost, latencyDigits)}
}

// Record takes one time; what is out of bounds counts as the bound.
func (l *Latency) Record(d time.Duration) {
	us := min(max(d.Microseconds(), latencyLeast), latencyMost)
	l.mu.Lock()
	defer l.mu.Unlock()
	// It fails only for values out of bounds.
	_ = l.h.RecordValue(us)
}

// Metrics are the counters, gauges and histograms of one process.
type Metrics struct {
	Registry metrics.Registry

	mu        sync.Mutex
	latencies map[string]*Latency
}

// NewMetrics makes an empty set.
func NewMetrics() *Metrics {
	return &Metrics{Registry: metrics.NewRegistry(), latencies: map[string]*Latency{}}
}

// Count adds one to a counter.
func (m *Metrics) Count(name string) {
	metrics.GetOrRegisterCounter(name, m.Registry).Inc(1)
}

// Latency returns the histogram of a name; it is made at first use.
func (m *Metrics) Latency(name string) *Latency {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.latencies[name]
	if l == nil {
		l = NewLatency()
		m.latencies[name] = l
	}
	return l
}

// OneIf is a gauge's value for what is so or not.
func OneIf(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// ServeHTTP writes one line for each value: the name, a space and the number.
// Histograms are in seconds, with a count and quantiles.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	var lines []string
	m.Registry.Each(func(name string, v any) {
		switch v := v.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, v.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, v.Value()))
		case metrics.GaugeFloat64:
			lines = append(lines, fmt.Sprintf("%s %g", name, v.Value()))
		}
	})
	m.mu.Lock()
	for name, l := range m.latencies {
		lines = append(lines, l.lines(name)...)
	}
	m.mu.Unlock()
	sort.Strings(lines)
	// A reader that has left needs nothing more.
	_, _ = io.WriteString(w, strings.Join(lines, "\n")+"\n")
}

func (l *Latency) lines(name string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []string{fmt.Sprintf("%s{count} %d", name, l.h.TotalCount())}
	for _, q := range quantiles {
		out = append(out, fmt.Sprintf("%s{quantile=%q} %g", name, fmt.Sprint(q), float64(l.h.ValueAtQuantile(q))/1e6))
	}
	return out
}
