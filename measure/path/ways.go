package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"

	"github.com/snipereach/snipereach/quickstart"
)

// way is one way to the upstream.
type way struct {
	name, url string
	key       string
}

// bench is a running system with the ways to its plain upstream.
type bench struct {
	sys   *quickstart.System
	naive *naive
	ways  []way
}

// benchSlots is more than the requests in flight, so that nothing waits or is
// refused for want of a slot.
const benchSlots = 2048

func newBench(ctx context.Context, work time.Duration) (*bench, error) {
	if work == 0 {
		work = -1
	}
	sys, err := quickstart.Start(ctx, quickstart.Options{Log: log.NewNopLogger(), PlainSlots: benchSlots, PlainWork: work})
	if err != nil {
		return nil, err
	}
	b := &bench{sys: sys}
	if err := sys.WaitReady(ctx); err != nil {
		b.close()
		return nil, err
	}
	upstream := sys.Plains[0].URL()
	if b.naive, err = newNaive(upstream); err != nil {
		b.close()
		return nil, err
	}
	b.ways = []way{
		{name: "direct", url: upstream + "/ping"},
		{name: "naive", url: b.naive.url + "/ping"},
		{name: "full", url: serviceURL(sys), key: quickstart.TeamKey},
	}
	return b, nil
}

func serviceURL(sys *quickstart.System) string {
	return "http://" + sys.Entries[0].CallerAddress() + "/services/clock-core/ping"
}

func (b *bench) close() {
	if b.naive != nil {
		b.naive.Close()
	}
	b.sys.Stop()
}

// compareWays lets the ways take turns, so that a change of the machine's load
// meets all of them.
func compareWays(ctx context.Context, o options) error {
	b, err := newBench(ctx, o.Work)
	if err != nil {
		return err
	}
	defer b.close()
	fmt.Printf("%-8s %11s %12s %10s %10s %10s %10s\n", "way", "concurrency", "requests/s", "p50", "p99", "cpu/req", "allocs/req")
	for _, c := range o.Concurrency {
		total := make([]*figures, len(b.ways))
		for i := range total {
			total[i] = newFigures()
		}
		for range o.Rounds {
			for i, w := range b.ways {
				total[i].add(closedLoop(w, c, o.Time/time.Duration(o.Rounds)))
			}
		}
		for i, w := range b.ways {
			printFigures(w.name, c, total[i])
		}
		direct, full := total[0], total[len(total)-1]
		fmt.Printf("%-8s %11d %11.0f%% %8dµs %8dµs %8dµs  added by the full path; direct/full by processor time %.0f%%, naive/full %.0f%%\n", "", c,
			100*full.rate()/direct.rate(), full.p50()-direct.p50(), full.p99()-direct.p99(),
			(full.cpuPerCall() - direct.cpuPerCall()).Microseconds(),
			share(direct, full), share(total[1], full))
	}
	return nil
}

// share is what one way costs as a percentage of another. Unlike the rates' ratio
// it stays the same when the machine does other work.
func share(part, whole *figures) float64 {
	return 100 * float64(part.cpuPerCall()) / float64(whole.cpuPerCall())
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
	client := &http.Client{Transport: &http.Transport{MaxIdleConns: benchSlots, MaxIdleConnsPerHost: benchSlots}}
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
