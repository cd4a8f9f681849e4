// Command path measures what the system adds to a call: the same requests sent
// to a fake upstream directly, through a naive forwarder, and through an entry
// and an agent, in one run on loopback.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-kit/log"
	"github.com/jessevdk/go-flags"

	"github.com/snipereach/snipereach/fake"
	"github.com/snipereach/snipereach/quickstart"
)

type options struct {
	Seconds     float64 `long:"seconds" default:"2" description:"time of each measurement"`
	Concurrency []int   `long:"concurrency" default:"1" default:"64" default:"512" description:"requests in flight"`
}

// target is one way to the upstream.
type target struct {
	name, url string
	key       string
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "path:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	ctx := context.Background()
	sys, err := quickstart.Start(ctx, quickstart.Options{Log: log.NewNopLogger(), Rows: rows()})
	if err != nil {
		return err
	}
	defer sys.Stop()
	if err := sys.WaitReady(ctx); err != nil {
		return err
	}
	up := &fake.Plain{}
	if err := up.Start(); err != nil {
		return err
	}
	defer up.Close()
	naive, err := newNaive(sys.Plains[0].URL())
	if err != nil {
		return err
	}
	defer naive.Close()
	targets := []target{
		{"direct", sys.Plains[0].URL() + "/ping", ""},
		{"naive", naive.url + "/ping", ""},
		{"full", "http://" + sys.Entries[0].CallerAddress() + "/services/clock-core/ping", quickstart.TeamKey},
	}
	fmt.Printf("%-8s %11s %12s %10s %10s %12s\n", "way", "concurrency", "requests/s", "p50", "p99", "allocs/req")
	for _, c := range o.Concurrency {
		for _, t := range targets {
			measure(t, c, time.Duration(o.Seconds*float64(time.Second)))
		}
	}
	return nil
}

func rows() string {
	return strings.Replace(quickstart.Rows(), "priority=urgent", "priority=urgent\tidempotent=yes", 1)
}

func measure(t target, concurrency int, d time.Duration) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConns: concurrency, MaxIdleConnsPerHost: concurrency}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	total := hdrhistogram.New(1, 60_000_000, 3)
	failed := 0
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	end := time.Now().Add(d)
	var wg sync.WaitGroup
	for range concurrency {
		wg.Add(1)
		go func() {
			defer wg.Done()
			h := hdrhistogram.New(1, 60_000_000, 3)
			bad := 0
			for time.Now().Before(end) {
				began := time.Now()
				if !call(client, t) {
					bad++
					continue
				}
				_ = h.RecordValue(time.Since(began).Microseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			total.Merge(h)
			failed += bad
		}()
	}
	wg.Wait()
	runtime.ReadMemStats(&after)
	n := total.TotalCount()
	fmt.Printf("%-8s %11d %12.0f %9dµs %9dµs %12.0f", t.name, concurrency, float64(n)/d.Seconds(),
		total.ValueAtQuantile(50), total.ValueAtQuantile(99), float64(after.Mallocs-before.Mallocs)/float64(max(n, 1)))
	if failed > 0 {
		fmt.Printf("  %d failed", failed)
	}
	fmt.Println()
}

func call(c *http.Client, t target) bool {
	req, err := http.NewRequest(http.MethodPost, t.url, strings.NewReader("{}"))
	if err != nil {
		return false
	}
	if t.key != "" {
		req.Header.Set("Authorization", "Bearer "+t.key)
	}
	resp, err := c.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// naive forwards each request as it comes: the baseline that does nothing else.
type naive struct {
	url    string
	server *http.Server
}

func newNaive(upstream string) (*naive, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConns: 1024, MaxIdleConnsPerHost: 1024}}
	n := &naive{url: "http://" + lis.Addr().String()}
	n.server = &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req, _ := http.NewRequestWithContext(r.Context(), r.Method, upstream+r.URL.Path, r.Body)
		resp, err := client.Do(req)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	})}
	go func() { _ = n.server.Serve(lis) }()
	return n, nil
}

// Close stops the forwarder.
func (n *naive) Close() { _ = n.server.Close() }
