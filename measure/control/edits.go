package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/snipereach/snipereach/control"
	"github.com/snipereach/snipereach/internal/meter"
	"github.com/snipereach/snipereach/wire"
)

const (
	// writers is the number of operators who edit concurrently.
	writers = 64
	// teams is the number of rows that are edited.
	teams = 3800
	// maxLatency is the upper limit of the histograms, in microseconds.
	maxLatency = 60_000_000
)

func sha256Hex(key string) string {
	d := sha256.Sum256([]byte(key))
	return hex.EncodeToString(d[:])
}

func measureEdits(ctx context.Context, o options) error {
	fmt.Printf("%8s %9s %9s %10s %10s %9s\n", "replicas", "max_batch", "edits/s", "p50", "p99", "failed")
	for _, n := range []int{3, 5} {
		for _, batch := range []int{512, 1} {
			if err := editsOnce(ctx, o, n, batch); err != nil {
				return err
			}
		}
	}
	return nil
}

func editsOnce(ctx context.Context, o options, n, batch int) error {
	dir := filepath.Join(o.Dir, fmt.Sprintf("edits-%d-%d", n, batch))
	c, err := newCluster(ctx, dir, n, func(s *control.Settings) { s.MaxBatch = batch })
	if err != nil {
		return err
	}
	defer c.close()
	h, failed, took := c.runWriters(ctx, writers, func(_ int64, began time.Time) bool { return time.Since(began) < o.time() })
	fmt.Printf("%8d %9d %9.0f %8.2fms %8.2fms %9d\n", n, batch, float64(h.TotalCount())/took.Seconds(),
		float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000, failed)
	return nil
}

// runWriters runs writers, each on its own part of the teams, as long as more returns
// true. It returns the latencies in microseconds, the number of failed edits, and the time
// taken.
func (c *cluster) runWriters(ctx context.Context, writers int, more func(done int64, began time.Time) bool) (*hdrhistogram.Histogram, int, time.Duration) {
	total := hdrhistogram.New(1, maxLatency, 3)
	failed := 0
	began := time.Now()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for w := range writers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			h, bad := c.runWriter(ctx, w, writers, func() bool { return more(c.edits.Load(), began) })
			mu.Lock()
			defer mu.Unlock()
			total.Merge(h)
			failed += bad
		}()
	}
	wg.Wait()
	return total, failed, time.Since(began)
}

func (c *cluster) runWriter(ctx context.Context, w, writers int, more func() bool) (*hdrhistogram.Histogram, int) {
	h := hdrhistogram.New(1, maxLatency, 3)
	failed := 0
	versions := map[string]uint64{}
	own := teams / writers
	for n := 0; more(); n++ {
		key := fmt.Sprintf("team-%04d", w*own+n%own)
		began := time.Now()
		reply, err := c.edit(ctx, key, versions[key])
		if err != nil {
			failed++
			if reply != nil && reply.Status == wire.EditStatus_EDIT_STATUS_CONFLICT {
				versions[key] = reply.Rows[0].Version
			}
			continue
		}
		_ = h.RecordValue(time.Since(began).Microseconds())
		versions[key] = reply.Rows[0].Version
	}
	return h, failed
}

func measureRecovery(ctx context.Context, o options) error {
	fmt.Printf("%9s %10s %12s %12s %12s %12s %12s\n", "edits", "edits/s", "read files", "first read", "folder", "heap before", "heap after")
	for _, n := range o.Edits {
		if err := recoveryOnce(ctx, o, n); err != nil {
			return err
		}
	}
	return nil
}

// recoveryOnce measures the restart of a single replica, which holds the same data as
// any voter.
func recoveryOnce(ctx context.Context, o options, n int) error {
	base := meter.LiveHeap()
	c, err := newCluster(ctx, filepath.Join(o.Dir, fmt.Sprintf("recovery-%d", n)), 1, nil)
	if err != nil {
		return err
	}
	defer c.close()
	_, failed, took := c.runWriters(ctx, 256, func(done int64, _ time.Time) bool { return done < int64(n) })
	if failed > 0 {
		return fmt.Errorf("%d edits failed", failed)
	}
	before := meter.LiveHeap() - base
	c.stop(0)
	began := time.Now()
	read, err := c.start(ctx, 0, nil)
	if err != nil {
		return err
	}
	if err := c.waitRead(ctx); err != nil {
		return err
	}
	first := time.Since(began)
	fmt.Printf("%9d %10.0f %10.0fms %10.0fms %10.1fMB %10.1fMB %10.1fMB\n", n, float64(n)/took.Seconds(),
		read.Seconds()*1000, first.Seconds()*1000, meter.MB(folderSize(c.dir)), meter.MB(before), meter.MB(meter.LiveHeap()-base))
	return nil
}

// waitRead waits until a linearizable read succeeds, which requires an election and
// the recovered state.
func (c *cluster) waitRead(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for {
		_, err := c.client.Read(ctx, &wire.ReadRequest{Kind: "team", Key: "team-0000", Linearizable: true})
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(5 * time.Millisecond):
		}
	}
}
