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

// Range of a Latency, in microseconds (0.1 ms to 1 min), and its significant digits.
const (
	minLatencyMicros         = 100
	maxLatencyMicros         = 60_000_000
	latencySignificantDigits = 2
)

// quantiles are the percentiles that a Latency reports.
var quantiles = []float64{50, 90, 99, 99.9}

// Latency is a histogram of durations recorded since the process started. It is safe
// for concurrent use.
type Latency struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// NewLatency returns an empty histogram.
func NewLatency() *Latency {
	return &Latency{h: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits)}
}

// Record adds a duration, clamped to the histogram's range.
func (l *Latency) Record(d time.Duration) {
	us := min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros)
	l.mu.Lock()
	defer l.mu.Unlock()
	// RecordValue fails only for values out of range.
	_ = l.h.RecordValue(us)
}

// Metrics holds the counters, gauges and histograms of one process.
type Metrics struct {
	Registry metrics.Registry

	mu        sync.Mutex
	latencies map[string]*Latency
}

// NewMetrics returns an empty set.
func NewMetrics() *Metrics {
	return &Metrics{Registry: metrics.NewRegistry(), latencies: map[string]*Latency{}}
}

// Count increments a counter.
func (m *Metrics) Count(name string) {
	metrics.GetOrRegisterCounter(name, m.Registry).Inc(1)
}

// Latency returns the histogram of a name and creates it at first use.
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

// BoolGauge returns 1 if b is true, else 0, as a gauge value.
func BoolGauge(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// ServeHTTP writes one line for each value: the name, a space and the number. For a
// histogram it writes the count and the quantiles in seconds.
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
		lines = append(lines, l.formatLines(name)...)
	}
	m.mu.Unlock()
	sort.Strings(lines)
	// An error means that the client has disconnected.
	_, _ = io.WriteString(w, strings.Join(lines, "\n")+"\n")
}

func (l *Latency) formatLines(name string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []string{fmt.Sprintf("%s{count} %d", name, l.h.TotalCount())}
	for _, q := range quantiles {
		out = append(out, fmt.Sprintf("%s{quantile=%q} %g", name, fmt.Sprint(q), float64(l.h.ValueAtQuantile(q))/1e6))
	}
	return out
}
