package main

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/snipereach/snipereach/fake"
)

// maxLatency is the upper limit of the histograms, in microseconds.
const maxLatency = 60_000_000

// figures holds the results of one or several measurements of a path.
type figures struct {
	latency *hdrhistogram.Histogram // microseconds
	failed  int
	mallocs uint64
	// cpu is the processor time of the whole process. It depends less than the other
	// figures on other load of the machine.
	cpu  time.Duration
	time time.Duration
}

func newFigures() *figures {
	return &figures{latency: hdrhistogram.New(1, maxLatency, 3)}
}

func (f *figures) add(g *figures) {
	f.latency.Merge(g.latency)
	f.failed += g.failed
	f.mallocs += g.mallocs
	f.cpu += g.cpu
	f.time += g.time
}

func (f *figures) rate() float64 { return float64(f.latency.TotalCount()) / f.time.Seconds() }
func (f *figures) cpuPerCall() time.Duration {
	return f.cpu / time.Duration(max(f.latency.TotalCount(), 1))
}

func (f *figures) p50() int64 { return f.latency.ValueAtQuantile(50) }
func (f *figures) p99() int64 { return f.latency.ValueAtQuantile(99) }

func printFigures(name string, concurrency int, f *figures) {
	fmt.Printf("%-8s %11d %12.0f %8dµs %8dµs %8dµs %10.0f", name, concurrency, f.rate(), f.p50(), f.p99(),
		f.cpuPerCall().Microseconds(), float64(f.mallocs)/float64(max(f.latency.TotalCount(), 1)))
	if f.failed > 0 {
		fmt.Printf("  %d failed", f.failed)
	}
	fmt.Println()
}

func newClient(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConns: connections, MaxIdleConnsPerHost: connections}}
}

// closedLoop keeps concurrency requests in flight for d.
func closedLoop(path callPath, concurrency int, d time.Duration) *figures {
	client := newClient(concurrency)
	defer client.CloseIdleConnections()
	total := newFigures()
	total.time = d
	var mu sync.Mutex
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := processorTime()
	end := time.Now().Add(d)
	var wg sync.WaitGroup
	for range concurrency {
		wg.Go(func() {
			own := newFigures()
			for time.Now().Before(end) {
				began := time.Now()
				if !sendRequest(client, path, "") {
					own.failed++
					continue
				}
				_ = own.latency.RecordValue(time.Since(began).Microseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			total.add(own)
		})
	}
	wg.Wait()
	runtime.ReadMemStats(&after)
	total.cpu = processorTime() - cpu
	total.mallocs = after.Mallocs - before.Mallocs
	return total
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// sendRequest sends one request and reports whether it was answered with status 200.
func sendRequest(c *http.Client, path callPath, priority string) bool {
	req, err := http.NewRequest(http.MethodPost, path.url, strings.NewReader("{}"))
	if err != nil {
		return false
	}
	// A single run key for all requests keeps the upstream's map of runs small.
	req.Header.Set(fake.HeaderRunKey, "measure")
	if path.key != "" {
		req.Header.Set("Authorization", "Bearer "+path.key)
	}
	if priority != "" {
		req.Header.Set("X-Priority", priority)
	}
	resp, err := c.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}
