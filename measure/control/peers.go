package main

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"github.com/snipereach/snipereach/internal/meter"
)

// measurePeers measures the traffic among the replicas, idle and for each edit. Beyond
// five voters, the other replicas are learners.
func measurePeers(ctx context.Context, o options) error {
	fmt.Printf("%9s %16s %20s %12s\n", "replicas", "B/s, all", "CPU ms/s, all", "B/edit, all")
	for _, n := range []int{3, 5, 9, 19} {
		if err := peersOnce(ctx, o, n); err != nil {
			return err
		}
	}
	return nil
}

func peersOnce(ctx context.Context, o options, n int) error {
	c, err := newCluster(ctx, filepath.Join(o.Dir, fmt.Sprint("peers-", n)), n, nil)
	if err != nil {
		return err
	}
	defer c.close()
	time.Sleep(time.Second)
	idleBytes, idle := c.peerBytes(func() { time.Sleep(o.time()) })
	const edits = 200
	busyBytes, busy := c.peerBytes(func() {
		for i := range edits {
			if _, err = c.edit(ctx, fmt.Sprintf("team-%04d", i), 0); err != nil {
				return
			}
		}
	})
	if err != nil {
		return err
	}
	rest := idleBytes / idle.Elapsed.Seconds() * busy.Elapsed.Seconds()
	fmt.Printf("%9d %16.0f %20.1f %12.0f\n", n, idleBytes/idle.Elapsed.Seconds(),
		meter.Micros(idle.CPU)/1000/idle.Elapsed.Seconds(), (busyBytes-rest)/edits)
	return nil
}

// peerBytes returns the bytes that all replicas received while f ran, which counts each
// message once.
func (c *cluster) peerBytes(f func()) (float64, meter.Usage) {
	sum := func() float64 {
		total := 0.0
		for _, r := range c.replicas {
			total += float64(r.lis.Received())
		}
		return total
	}
	before := sum()
	usage := c.measureTraffic(f)
	return sum() - before, usage
}
