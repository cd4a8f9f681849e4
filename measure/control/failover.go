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

// measureFailover kills the leader and waits until the next edit is accepted.
func measureFailover(ctx context.Context, o options) error {
	c, err := newCluster(ctx, filepath.Join(o.Dir, "failover"), 3, nil)
	if err != nil {
		return err
	}
	defer c.close()
	h := hdrhistogram.New(1, longest, 3)
	for round := range o.Rounds {
		d, err := c.failover(ctx, fmt.Sprintf("team-%04d", round))
		if err != nil {
			return err
		}
		_ = h.RecordValue(d.Milliseconds())
	}
	fmt.Printf("rounds %d: from the leader's end to the next accepted edit p50 %dms, p90 %dms, max %dms\n",
		o.Rounds, h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.Max())
	return nil
}

func (c *cluster) failover(ctx context.Context, key string) (time.Duration, error) {
	leader, err := c.leader(ctx)
	if err != nil {
		return 0, err
	}
	c.stop(leader)
	began := time.Now()
	if err := c.sendUntilDecided(ctx, c.newEdit(key, 0)); err != nil {
		return 0, err
	}
	took := time.Since(began)
	if _, err := c.start(ctx, leader, nil); err != nil {
		return 0, err
	}
	return took, c.waitWhole(ctx)
}

func (c *cluster) sendUntilDecided(ctx context.Context, e *wire.TableEdit) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	for {
		_, err := c.send(ctx, e)
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// folderSize is the bytes of all files below a folder.
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
