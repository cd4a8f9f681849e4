// Command path measures the overhead that the system adds to a call: it sends the same
// requests to a fake upstream directly, through a minimal reverse proxy, and through an
// entry and an agent, in one run on loopback. It also measures how a bulk load over
// capacity affects urgent calls.
//
// The caller, the upstream and the system share one process and its cores, so the
// figures of all three paths include the same caller and upstream.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime/pprof"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/snipereach/snipereach/kernel"
)

type options struct {
	Time        time.Duration `long:"time" default:"2s" description:"time of each measurement"`
	Concurrency []int         `long:"concurrency" default:"1" default:"64" default:"512" description:"requests in flight"`
	Work        time.Duration `long:"work" default:"0s" description:"time of one request at the upstream"`
	Rounds      int           `long:"rounds" default:"3" description:"times that the ways take turns at each concurrency"`
	Only        string        `long:"only" choice:"ways" choice:"urgent" description:"measure just this part"`
	Profile     string        `long:"profile" description:"file for a processor profile of the full path; nothing else runs then"`
	Allocations string        `long:"allocations" description:"file for the allocations of the profiled run"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(kernel.ExitSettings)
	}
	if err := run(context.Background(), o); err != nil {
		fmt.Fprintln(os.Stderr, "path:", err)
		os.Exit(kernel.ExitFailed)
	}
}

func run(ctx context.Context, o options) error {
	if o.Profile != "" {
		return profile(ctx, o)
	}
	if o.Only != "urgent" {
		if err := comparePaths(ctx, o); err != nil {
			return err
		}
	}
	if o.Only != "ways" {
		return compareUrgent(ctx, o.Time)
	}
	return nil
}

// profile runs the full path alone under the profiler.
func profile(ctx context.Context, o options) error {
	b, err := newBench(ctx, o.Work)
	if err != nil {
		return err
	}
	defer b.close()
	f, err := os.Create(o.Profile)
	if err != nil {
		return err
	}
	defer f.Close()
	full := b.paths[len(b.paths)-1]
	closedLoop(full, o.Concurrency[0], time.Second)
	if err := pprof.StartCPUProfile(f); err != nil {
		return err
	}
	defer pprof.StopCPUProfile()
	printFigures(full.name, o.Concurrency[0], closedLoop(full, o.Concurrency[0], o.Time))
	return writeAllocations(o.Allocations)
}

func writeAllocations(path string) error {
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return pprof.Lookup("allocs").WriteTo(f, 0)
}
