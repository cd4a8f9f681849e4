package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/admit"
	"github.com/snipereach/snipereach/internal/meter"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

// shareRounds is how often each entry asks in the measurement.
const shareRounds = 4

// measureShares takes what the division of limits costs: the size of one entry's
// question for so many active teams, and the time that the home needs for one
// team of one entry.
func measureShares(o options) error {
	fmt.Printf("%8s %8s %18s %18s\n", "entries", "teams", "B/call in", "home µs/team")
	for _, c := range []struct{ entries, teams int }{{20, 100}, {20, 1000}, {200, 100}, {2000, 10}} {
		h := admit.NewHome(time.Unix(0, 0), "measure")
		now := time.Unix(100, 0)
		began := meter.ProcessorTime()
		for round := range uint64(shareRounds) {
			for e := range c.entries {
				name := fmt.Sprint("entry-", e)
				if !h.Hear(now, admit.Report{Entry: name, Incarnation: 1, Seq: round + 1, Home: h.Name(now)}) {
					return fmt.Errorf("the home did not hear %s", name)
				}
				askShares(h, now, name, c.teams)
			}
			now = now.Add(admit.ShareInterval)
		}
		took := meter.ProcessorTime() - began
		size := proto.Size(shareQuestion(c.teams))
		fmt.Printf("%8d %8d %18d %18.2f\n", c.entries, c.teams, size,
			meter.Micros(took)/float64(shareRounds*c.entries*c.teams))
	}
	return measureShareCalls(o)
}

func askShares(h *admit.Home, now time.Time, entry string, teams int) {
	for t := range teams {
		h.Grant(now, entry, admit.Subject{Team: fmt.Sprint("team-", t)}, someLimit,
			admit.Demand{Wanted: admit.Amounts{Requests: 1, Tokens: 200, Concurrent: 2}}, time.Second)
	}
}

// askedTeams is how many teams an entry asks for in a call of measureShareCalls.
const askedTeams = 10

// shareServer answers questions as a leader does, but for the table's rows.
type shareServer struct {
	wire.DRPCControlUnimplementedServer
	mu   sync.Mutex
	home *admit.Home
}

// Share implements the Control service.
func (s *shareServer) Share(_ context.Context, req *wire.ShareRequest) (*wire.ShareReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.home.Hear(now, admit.Report{Entry: req.Entry, Incarnation: req.Incarnation, Seq: req.Seq, Home: req.Home})
	reply := &wire.ShareReply{Home: s.home.Name(now)}
	for _, d := range req.Demands {
		g := s.home.Grant(now, req.Entry, admit.Subject{Team: d.Team, Service: d.Service}, someLimit, admit.Demand{
			Wanted: admit.Amounts{Requests: d.Requests, Tokens: d.Tokens, Concurrent: float64(d.Concurrent)}, Ack: d.Ack,
		}, time.Second)
		reply.Grants = append(reply.Grants, &wire.ShareGrant{
			Team: d.Team, Service: d.Service, Epoch: g.Epoch, RequestBurst: g.Burst, RequestsPerSecond: g.Requests,
			TokensPerSecond: g.Tokens, Concurrent: uint32(g.Concurrent), HoldMs: 1000, AgainMs: uint32(g.Again.Milliseconds()),
		})
	}
	return reply, nil
}

// measureShareCalls takes what a call with questions costs, both ends of the
// connection and the home together.
func measureShareCalls(o options) error {
	fmt.Printf("%8s %8s %12s %12s %14s\n", "entries", "teams", "B/call in", "B/call back", "CPU µs/call")
	for _, c := range []struct{ entries, teams int }{{50, 1}, {50, askedTeams}, {200, askedTeams}, {800, 1}, {800, askedTeams}} {
		if err := shareCallsOnce(o, c.entries, c.teams); err != nil {
			return err
		}
	}
	return nil
}

func shareCallsOnce(o options, entries, teams int) error {
	lis, err := meter.Listen()
	if err != nil {
		return err
	}
	defer lis.Close()
	srv := transport.NewServer(security)
	defer srv.Close()
	home := &shareServer{home: admit.NewHome(time.Now().Add(-time.Hour), "entry-00001@17.1")}
	if err := wire.DRPCRegisterControl(srv.Mux, home); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	go srv.Serve(ctx, lis)
	var wg sync.WaitGroup
	var calls atomic.Int64
	for i := range entries {
		wg.Go(func() { askLoop(ctx, lis.Addr().String(), i, entries, teams, &calls) })
	}
	time.Sleep(settleDown)
	before := calls.Load()
	spent := meter.Spend(lis, func() { time.Sleep(o.time()) })
	n := float64(calls.Load() - before)
	cancel()
	wg.Wait()
	fmt.Printf("%8d %8d %12.0f %12.0f %14.1f\n", entries, teams, float64(spent.Received)/n, float64(spent.Sent)/n, meter.Micros(spent.CPU)/n)
	return nil
}

func askLoop(ctx context.Context, addr string, i, n, teams int, calls *atomic.Int64) {
	pool := transport.NewPool(security)
	defer pool.Close()
	req := shareQuestion(teams)
	req.Entry = fmt.Sprintf("entry-%05d", i)
	wait := admit.ShareInterval * time.Duration(i) / time.Duration(n)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = admit.ShareInterval
		req.Seq++
		if _, err := wire.NewDRPCControlClient(pool.Conn(ctx, addr)).Share(ctx, req); err == nil {
			calls.Add(1)
		}
	}
}

var someLimit = admit.Amounts{Requests: 30, Tokens: 6000, Concurrent: 50}

func shareQuestion(teams int) *wire.ShareRequest {
	req := &wire.ShareRequest{Entry: "entry-00001", Incarnation: 1764670000000000000}
	for t := range teams {
		req.Demands = append(req.Demands, &wire.ShareDemand{
			Team: fmt.Sprintf("team-%04d", t), Service: "pushpa-lm", Requests: 1.25, Tokens: 212.5, Concurrent: 2, Running: 1, Ack: 4000,
		})
	}
	return req
}
