package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/snipereach/snipereach/fake"
	"github.com/snipereach/snipereach/internal/meter"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

// Times of an entry's watch of an upstream. Without a keep-alive a report is sent at
// each interval, as to entries of earlier versions.
const (
	reportInterval  = 500 * time.Millisecond
	reportKeepAlive = 30 * time.Second
)

// measureReports measures an entry's watch of one idle agent through a relay that
// counts the bytes. The processor time includes the relay's copying.
func measureReports(o options) error {
	plain, engine := &fake.Plain{}, &fake.Engine{}
	if err := errors.Join(plain.Start(), engine.Start()); err != nil {
		return err
	}
	defer plain.Close()
	defer engine.Close()
	fmt.Printf("%-8s %10s %12s %8s %14s %16s\n", "kind", "keep-alive", "cache events", "watches", "B/s, each", "CPU µs/s, each")
	if err := reportsOf(o, "engine", engine.URL()); err != nil {
		return err
	}
	return reportsOf(o, "plain", plain.URL())
}

func reportsOf(o options, kind, url string) error {
	s, err := startDirectory()
	if err != nil {
		return err
	}
	defer s.close()
	list, err := startAgents(s, kind, url, 1)
	if err != nil {
		return err
	}
	defer list[0].Stop()
	for _, w := range []*wire.WatchRequest{
		{},
		// Without reports, what remains is the agent's own polling of its load.
		{KeepAliveMs: uint32(time.Hour.Milliseconds())},
		{KeepAliveMs: uint32(reportKeepAlive.Milliseconds())},
		{KeepAliveMs: uint32(reportKeepAlive.Milliseconds()), NoCacheEvents: true},
	} {
		if w.NoCacheEvents && kind == "plain" {
			// Plain upstreams send no cache events.
			continue
		}
		for _, n := range []int{50, 200} {
			fmt.Printf("%-8s %9ds %12t ", kind, w.KeepAliveMs/1000, !w.NoCacheEvents)
			if err := reportsOnce(o, list[0].Address(), n, w); err != nil {
				return err
			}
		}
	}
	return nil
}

// reportsOnce measures n watches for the configured time, or for one keep-alive of up
// to reportKeepAlive if that is longer.
func reportsOnce(o options, agent string, n int, req *wire.WatchRequest) error {
	took := max(o.time(), min(time.Duration(req.KeepAliveMs)*time.Millisecond, reportKeepAlive))
	lis, err := meter.Listen()
	if err != nil {
		return err
	}
	defer lis.Close()
	go relay(lis, agent)
	none := meter.Measure(lis, func() { time.Sleep(o.time()) })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range n {
		pool := transport.NewPool(security)
		defer pool.Close()
		go watchReports(ctx, pool, lis.Addr().String(), i, req)
	}
	time.Sleep(settleDown)
	usage := meter.Measure(lis, func() { time.Sleep(took) })
	share := float64(n) * usage.Elapsed.Seconds()
	idle := meter.Micros(none.CPU) / none.Elapsed.Seconds()
	fmt.Printf("%8d %14.0f %16.0f\n", n, float64(usage.Sent)/share, (meter.Micros(usage.CPU)-idle*usage.Elapsed.Seconds())/share)
	return nil
}

func watchReports(ctx context.Context, pool *transport.Pool, addr string, i int, req *wire.WatchRequest) {
	stream, err := wire.NewDRPCAgentClient(pool.Conn(ctx, addr)).Watch(ctx, &wire.WatchRequest{
		Entry: fmt.Sprint("entry-", i), IntervalMs: uint32(reportInterval.Milliseconds()),
		KeepAliveMs: req.KeepAliveMs, NoCacheEvents: req.NoCacheEvents,
	})
	if err != nil {
		return
	}
	defer stream.Close()
	for {
		if _, err := stream.Recv(); err != nil {
			return
		}
	}
}

// relay forwards the connections that a listener accepts to an address.
func relay(lis net.Listener, addr string) {
	for {
		in, err := lis.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", addr)
		if err != nil {
			_ = in.Close()
			continue
		}
		go copyAndClose(in, out)
		go copyAndClose(out, in)
	}
}

func copyAndClose(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
}
