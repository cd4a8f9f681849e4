package main

import (
	"context"
	"fmt"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/snipereach/snipereach/internal/meter"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

// editsPerSecond is the rate of 22,000 edits a day.
const editsPerSecond = 22_000.0 / 86_400

// watcher is an open watch of the table, as an entry has one.
type watcher struct {
	pool     *transport.Pool
	revision atomic.Uint64
}

func (c *cluster) startWatch(ctx context.Context, addr, name string) *watcher {
	w := &watcher{pool: transport.NewPool(security)}
	go func() {
		stream, err := wire.NewDRPCControlClient(w.pool.Conn(ctx, addr)).WatchTable(ctx, &wire.TableWatchRequest{Entry: name})
		if err != nil {
			return
		}
		defer stream.Close()
		for {
			u, err := stream.Recv()
			if err != nil {
				return
			}
			w.revision.Store(u.Revision)
		}
	}()
	return w
}

// cost is the bytes and processor time that a watch takes.
type cost struct {
	bytes float64
	cpu   time.Duration
}

// measureTraffic measures the traffic of the first replica and the processor time of
// the whole process while f runs.
func (c *cluster) measureTraffic(f func()) meter.Usage { return meter.Measure(c.replicas[0].lis, f) }

// measureWatch measures the bytes that one watch takes, idle and for each edit.
func measureWatch(ctx context.Context, o options) error {
	c, err := newCluster(ctx, filepath.Join(o.Dir, "watch"), 1, nil)
	if err != nil {
		return err
	}
	defer c.close()
	idle, perEdit, err := c.watchCost(ctx, o, 10)
	if err != nil {
		return err
	}
	fmt.Printf("one watch: idle %.0f B/s, %.0f B an edit; at 22,000 edits a day %.0f B/s\n",
		idle.bytes, perEdit.bytes, idle.bytes+perEdit.bytes*editsPerSecond)
	return nil
}

// watchCost returns the mean cost of one of n watches, per second when idle and for
// each edit.
func (c *cluster) watchCost(ctx context.Context, o options, n int) (idle, perEdit cost, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	first, err := c.edit(ctx, "team-0000", 0)
	if err != nil {
		return idle, perEdit, err
	}
	none := c.measureTraffic(func() { time.Sleep(o.time()) })
	var list []*watcher
	for i := range n {
		w := c.startWatch(ctx, c.addrs[0], fmt.Sprint("entry-", i))
		defer w.pool.Close()
		list = append(list, w)
	}
	if err := waitRevision(list, first.Revision); err != nil {
		return idle, perEdit, err
	}
	with := c.measureTraffic(func() { time.Sleep(o.time()) })
	share := float64(n) * with.Elapsed.Seconds()
	idle.bytes = float64(with.Sent-none.Sent) / share
	idle.cpu = time.Duration(float64(with.CPU-none.CPU) / share)
	const edits = 50
	busy := c.measureTraffic(func() { err = c.editsInForce(ctx, list, edits) })
	rest := busy.Elapsed.Seconds() * float64(n)
	perEdit.bytes = (float64(busy.Sent) - idle.bytes*rest) / float64(n*edits)
	perEdit.cpu = time.Duration((float64(busy.CPU) - float64(idle.cpu)*rest) / float64(n*edits))
	return idle, perEdit, err
}

// editsInForce makes edits in sequence, and waits after each until it has reached all
// watchers.
func (c *cluster) editsInForce(ctx context.Context, list []*watcher, edits int) error {
	for n := range edits {
		reply, err := c.edit(ctx, fmt.Sprintf("team-%04d", 1+int(c.edits.Load())), 0)
		if err != nil {
			return fmt.Errorf("edit %d: %w", n, err)
		}
		if err := waitRevision(list, reply.Revision); err != nil {
			return err
		}
	}
	return nil
}

func waitRevision(list []*watcher, revision uint64) error {
	end := time.Now().Add(waitTimeout)
	for _, w := range list {
		for w.revision.Load() < revision {
			if time.Now().After(end) {
				return fmt.Errorf("a watcher has revision %d, not %d", w.revision.Load(), revision)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return nil
}

func measureWatchers(ctx context.Context, o options) error {
	fmt.Printf("%9s %14s %14s %14s %14s\n", "watchers", "B/s each", "CPU µs/s each", "B/edit each", "CPU µs/edit each")
	for _, n := range o.Watchers {
		c, err := newCluster(ctx, filepath.Join(o.Dir, fmt.Sprint("watchers-", n)), 1, nil)
		if err != nil {
			return err
		}
		idle, perEdit, err := c.watchCost(ctx, o, n)
		c.close()
		if err != nil {
			return err
		}
		fmt.Printf("%9d %14.0f %14.1f %14.0f %14.1f\n", n, idle.bytes, meter.Micros(idle.cpu), perEdit.bytes, meter.Micros(perEdit.cpu))
	}
	return nil
}
