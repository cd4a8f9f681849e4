package main

import (
	"context"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/snipereach/snipereach/wire"
)

// leaderStop is a way to stop the leader.
type leaderStop struct {
	name string
	stop func(ctx context.Context, c *cluster, i int)
}

// measureFailover stops the leader repeatedly while an operator edits one row after
// another, and measures the longest time between two accepted edits.
func measureFailover(ctx context.Context, o options) error {
	fmt.Printf("%-30s %7s %8s %8s %8s\n", "longest time without an edit", "rounds", "p50", "p90", "max")
	for _, e := range []leaderStop{
		{"killed, or no transfer", func(_ context.Context, c *cluster, i int) { c.stop(i) }},
		{"planned stop, transfer", func(ctx context.Context, c *cluster, i int) {
			c.replicas[i].ctl.Drain(ctx)
			c.stop(i)
		}},
	} {
		if err := measureLeaderStop(ctx, o, e); err != nil {
			return err
		}
	}
	return nil
}

func measureLeaderStop(ctx context.Context, o options, e leaderStop) error {
	c, err := newCluster(ctx, filepath.Join(o.Dir, "failover"), 3, nil)
	if err != nil {
		return err
	}
	defer c.close()
	h := hdrhistogram.New(1, maxLatency, 3)
	for round := range o.Rounds {
		d, err := c.failover(ctx, fmt.Sprintf("team-%04d", round), e)
		if err != nil {
			return err
		}
		_ = h.RecordValue(d.Milliseconds())
	}
	fmt.Printf("%-30s %7d %6dms %6dms %6dms\n", e.name, o.Rounds, h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.Max())
	return nil
}

// failover stops the leader while edits are sent, starts it again, and returns the
// longest time between two accepted edits.
func (c *cluster) failover(ctx context.Context, key string, e leaderStop) (time.Duration, error) {
	leader, err := c.leader(ctx)
	if err != nil {
		return 0, err
	}
	version := uint64(0)
	// write makes an edit and returns the time at which it was accepted.
	write := func() (time.Time, error) {
		reply, err := c.sendUntilDecided(ctx, c.newEdit(key, version))
		if err == nil {
			version = reply.Rows[0].Version
		}
		return time.Now(), err
	}
	last, err := write()
	if err != nil {
		return 0, err
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		e.stop(ctx, c, leader)
	}()
	var longestGap time.Duration
	for after := false; !after; {
		select {
		case <-ended:
			after = true
		default:
		}
		at, err := write()
		if err != nil {
			return 0, err
		}
		longestGap = max(longestGap, at.Sub(last))
		last = at
	}
	if _, err := c.start(ctx, leader, nil); err != nil {
		return 0, err
	}
	return longestGap, c.waitHealthy(ctx)
}

func (c *cluster) sendUntilDecided(ctx context.Context, e *wire.TableEdit) (*wire.EditReply, error) {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for {
		reply, err := c.send(ctx, e)
		if err == nil || ctx.Err() != nil {
			return reply, err
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// folderSize returns the total size in bytes of the files below a folder.
func folderSize(dir string) int64 {
	var sum int64
	_ = filepath.WalkDir(dir, func(_ string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return nil
		}
		if info, err := os.Stat(filepath.Join(dir, d.Name())); err == nil {
			sum += info.Size()
			return nil
		}
		if info, err := d.Info(); err == nil {
			sum += info.Size()
		}
		return nil
	})
	return sum
}
