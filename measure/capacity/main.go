// Command capacity measures how the costs of the directory, of shares and of load
// reports grow with the number of parts: bytes, processor time and memory. Everything
// runs in one process over loopback, so processor times include both ends of each
// connection.
package main

import (
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Parts     []string `long:"part" description:"announce, watch, change, revision, settling, follow, shares, reports or memory; all if none is named"`
	Seconds   float64  `long:"seconds" default:"4" description:"time of each measurement"`
	Agents    []int    `long:"agents" default:"50" default:"200" default:"800" description:"agents that announce to one directory"`
	Instances []int    `long:"instances" default:"200" default:"800" default:"3200" default:"7500" description:"instances in a watched directory"`
	Watchers  int      `long:"watchers" default:"20" description:"watchers of one directory"`
}

func (o options) time() time.Duration { return time.Duration(o.Seconds * float64(time.Second)) }

type part struct {
	name string
	run  func(options) error
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	for _, p := range []part{
		{"announce", measureAnnounce}, {"watch", measureWatch}, {"change", measureChange},
		{"revision", measureRevision}, {"settling", measureSettling}, {"follow", measureFollow}, {"shares", measureShares}, {"reports", measureReports}, {"memory", measureMemory},
	} {
		if len(o.Parts) > 0 && !slices.Contains(o.Parts, p.name) {
			continue
		}
		fmt.Printf("== %s\n", p.name)
		if err := p.run(o); err != nil {
			fmt.Fprintf(os.Stderr, "capacity: %s: %v\n", p.name, err)
			os.Exit(1)
		}
	}
}
