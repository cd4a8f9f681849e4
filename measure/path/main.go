// Command path measures what the system adds to a call: the same requests sent
// to a fake upstream directly, through a naive forwarder, and through an entry
// and an agent, in one run on loopback; and what bulk load over capacity does
// to urgent calls.
//
// The caller, the upstream and the system share one process and its cores, so
// that all three ways pay for the same caller and the same upstream.
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
		if err := compareWays(ctx, o); err != nil {
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
	full := b.ways[len(b.ways)-1]
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
