package main

import (
	"context"
	"crypto/sha256"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/snipereach/snipereach/admit"
	"github.com/snipereach/snipereach/control"
	"github.com/snipereach/snipereach/internal/meter"
	"github.com/snipereach/snipereach/table"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

// maxShareTeams is the largest number of teams in a share call of measureShareCalls.
const maxShareTeams = 10

// shareLeader is the only replica, and so the leader, of a log with the rows of
// maxShareTeams teams. Share calls pass through the event loop of its log.
type shareLeader struct {
	ctl  *control.Control
	pool *transport.Pool
	lis  *meter.Listener
	srv  *transport.Server
	stop context.CancelFunc
	dir  string
}

func startShareLeader() (*shareLeader, error) {
	l := &shareLeader{pool: transport.NewPool(security), srv: transport.NewServer(security)}
	var err error
	if l.lis, err = meter.Listen(); err != nil {
		return nil, err
	}
	if l.dir, err = os.MkdirTemp("", "capacity-shares-"); err != nil {
		return nil, err
	}
	s := control.DefaultSettings()
	s.DataDir, s.Members, s.FormCluster = l.dir, []string{l.address()}, true
	if l.ctl, err = control.New(s, log.NewNopLogger(), l.pool); err != nil {
		return nil, err
	}
	if err := l.ctl.Register(l.srv.Mux); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.stop = cancel
	go l.srv.Serve(ctx, l.lis)
	if err := l.ctl.Start(ctx, control.ReplicaInfo{Name: "c0", Address: l.address(), FailureDomain: "hall-00"}); err != nil {
		return nil, err
	}
	return l, l.putRows(ctx)
}

func (l *shareLeader) address() string { return l.lis.Addr().String() }

func (l *shareLeader) close() {
	l.stop()
	_ = l.lis.Close()
	l.srv.Close()
	l.ctl.Stop()
	l.pool.Close()
	_ = os.RemoveAll(l.dir)
}

// putRows writes the limits and waits until the new leader may grant shares.
func (l *shareLeader) putRows(ctx context.Context) error {
	edit := &wire.TableEdit{EditId: "rows", By: "operator-1", Rows: []*wire.RowEdit{
		{Kind: table.KindPool, Key: "lm"},
		{Kind: table.KindService, Key: "pushpa-lm", Columns: map[string]string{"kind": "engine", "pool": "lm", "idempotent": "yes"}},
	}}
	for _, d := range newShareRequest(maxShareTeams).Demands {
		edit.Rows = append(edit.Rows,
			&wire.RowEdit{Kind: table.KindTeam, Key: d.Team, Columns: map[string]string{
				table.ColumnKeySHA256: fmt.Sprintf("%x", sha256.Sum256([]byte(d.Team))),
			}},
			&wire.RowEdit{Kind: table.KindLimit, Key: d.Team + "/" + d.Service, Columns: map[string]string{
				"requests_per_second": "30", "tokens_per_second": "6000", "concurrent": "50",
			}})
	}
	last := ""
	client := control.NewClient(l.pool, []string{l.address()}, "measure")
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		reply, err := client.Edit(ctx, edit)
		if err != nil || reply.Status != wire.EditStatus_EDIT_STATUS_ACCEPTED {
			last = fmt.Sprint(err, reply.GetStatus(), reply.GetDetail())
			continue
		}
		time.Sleep(admit.ShareTTL * 2)
		return nil
	}
	return fmt.Errorf("the rows were not accepted within %v: %v", waitTimeout, last)
}

// measureShareCalls measures the bytes and processor time of a share call. The
// processor time includes the leader and both ends of the connection.
func measureShareCalls(o options) error {
	fmt.Printf("%8s %8s %12s %12s %14s\n", "entries", "teams", "B/call in", "B/call back", "CPU µs/call")
	for _, c := range []struct{ entries, teams int }{{50, 1}, {50, maxShareTeams}, {200, maxShareTeams}, {800, 1}, {800, maxShareTeams}} {
		if err := shareCallsOnce(o, c.entries, c.teams); err != nil {
			return err
		}
	}
	return nil
}

func shareCallsOnce(o options, entries, teams int) error {
	leader, err := startShareLeader()
	if err != nil {
		return err
	}
	defer leader.close()
	idle := meter.Measure(leader.lis, func() { time.Sleep(o.time()) })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	var calls atomic.Int64
	for i := range entries {
		wg.Go(func() { shareCallLoop(ctx, leader.address(), i, entries, teams, &calls) })
	}
	time.Sleep(settleDown)
	before := calls.Load()
	usage := meter.Measure(leader.lis, func() { time.Sleep(o.time()) })
	n := float64(calls.Load() - before)
	cancel()
	wg.Wait()
	fmt.Printf("%8d %8d %12.0f %12.0f %14.1f\n", entries, teams, float64(usage.Received)/n, float64(usage.Sent)/n, (meter.Micros(usage.CPU)-meter.Micros(idle.CPU))/n)
	return nil
}

func shareCallLoop(ctx context.Context, addr string, i, n, teams int, calls *atomic.Int64) {
	pool := transport.NewPool(security)
	defer pool.Close()
	req := newShareRequest(teams)
	req.Entry = fmt.Sprintf("entry-%05d", i)
	wait := admit.ShareRetryInterval * time.Duration(i) / time.Duration(n)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = admit.ShareRetryInterval
		req.Seq++
		if _, err := wire.NewDRPCControlClient(pool.Conn(ctx, addr)).Share(ctx, req); err == nil {
			calls.Add(1)
		}
	}
}
