// Command control measures the control replicas on real files and loopback: edits,
// the time until an edit is in force, recovery after accumulated edits, failover, and
// the costs of table watches and of replication. Everything runs in one process, so
// processor times include both ends of each connection.
package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Parts    []string `long:"part" description:"edits, force, recovery, failover, watch, watchers or peers; all if none is named"`
	Seconds  float64  `long:"seconds" default:"4" description:"time of each measurement"`
	Dir      string   `long:"dir" description:"folder for the replicas' files; a temporary one if empty"`
	Rounds   int      `long:"rounds" default:"15" description:"rounds of fail-over"`
	Edits    []int    `long:"edits" default:"1000" default:"100000" default:"1000000" description:"accumulated edits of recovery"`
	Watchers []int    `long:"watchers" default:"10" default:"100" default:"500" default:"2000" description:"entries that watch one replica"`
}

func (o options) time() time.Duration { return time.Duration(o.Seconds * float64(time.Second)) }

// part is one measurement.
type part struct {
	name string
	run  func(context.Context, options) error
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "control:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	dir, err := os.MkdirTemp(o.Dir, "snipereach-measure-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	o.Dir = dir
	for _, p := range []part{
		{"edits", measureEdits}, {"force", measurePropagation}, {"recovery", measureRecovery},
		{"failover", measureFailover}, {"watch", measureWatch}, {"watchers", measureWatchers}, {"peers", measurePeers},
	} {
		if len(o.Parts) > 0 && !slices.Contains(o.Parts, p.name) {
			continue
		}
		fmt.Printf("== %s\n", p.name)
		if err := p.run(context.Background(), o); err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
	}
	return nil
}
