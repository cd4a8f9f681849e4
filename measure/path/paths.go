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

// callPath is a path from the caller to the upstream.
type callPath struct {
	name, url string
	key       string
}

// bench is a running system with the paths to its plain upstream.
type bench struct {
	sys   *quickstart.System
	proxy *reverseProxy
	paths []callPath
}

// benchSlots exceeds the requests in flight, so that none waits for a slot or is
// refused for lack of one.
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
	if b.proxy, err = newReverseProxy(upstream); err != nil {
		b.close()
		return nil, err
	}
	b.paths = []callPath{
		{name: "direct", url: upstream + "/ping"},
		{name: "naive", url: b.proxy.url + "/ping"},
		{name: "full", url: serviceURL(sys), key: quickstart.TeamKey},
	}
	return b, nil
}

func serviceURL(sys *quickstart.System) string {
	return "http://" + sys.Entries[0].CallerAddress() + "/services/clock-core/ping"
}

func (b *bench) close() {
	if b.proxy != nil {
		b.proxy.Close()
	}
	b.sys.Stop()
}

// comparePaths measures the paths in turns, so that changes in the machine's load
// affect all of them.
func comparePaths(ctx context.Context, o options) error {
	b, err := newBench(ctx, o.Work)
	if err != nil {
		return err
	}
	defer b.close()
	fmt.Printf("%-8s %11s %12s %10s %10s %10s %10s\n", "way", "concurrency", "requests/s", "p50", "p99", "cpu/req", "allocs/req")
	for _, c := range o.Concurrency {
		total := make([]*figures, len(b.paths))
		for i := range total {
			total[i] = newFigures()
		}
		for range o.Rounds {
			for i, path := range b.paths {
				total[i].add(closedLoop(path, c, o.Time/time.Duration(o.Rounds)))
			}
		}
		for i, path := range b.paths {
			printFigures(path.name, c, total[i])
		}
		direct, full := total[0], total[len(total)-1]
		fmt.Printf("%-8s %11d %11.0f%% %8dµs %8dµs %8dµs  added by the full path; direct/full by processor time %.0f%%, naive/full %.0f%%\n", "", c,
			100*full.rate()/direct.rate(), full.p50()-direct.p50(), full.p99()-direct.p99(),
			(full.cpuPerCall() - direct.cpuPerCall()).Microseconds(),
			cpuPercent(direct, full), cpuPercent(total[1], full))
	}
	return nil
}

// cpuPercent returns the processor time of a call on one path as a percentage of
// another. Unlike the ratio of rates, it hardly depends on other load of the machine.
func cpuPercent(part, whole *figures) float64 {
	return 100 * float64(part.cpuPerCall()) / float64(whole.cpuPerCall())
}

// reverseProxy is the baseline: it forwards each request and does nothing else.
type reverseProxy struct {
	url    string
	server *http.Server
}

func newReverseProxy(upstream string) (*reverseProxy, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConns: benchSlots, MaxIdleConnsPerHost: benchSlots}}
	n := &reverseProxy{url: "http://" + lis.Addr().String()}
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

// Close stops the proxy.
func (n *reverseProxy) Close() { _ = n.server.Close() }
