// Command admit measures admission control in a seeded model of queues in virtual
// time: 7 entries, 16 engines, 10 teams of which a few are large, and one compressed
// day of each user. It compares waits of a FIFO, of the admission gate and of a single
// queue for all upstreams; how well rate limits are kept; and what the division of
// limits into shares costs.
package main

import (
	"fmt"
	"os"
	"slices"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Seconds float64  `long:"seconds" default:"600" description:"virtual length of a day"`
	Parts   []string `long:"part" description:"waits, limits, teams or bytes; all if none is named"`
	Seed    uint64   `long:"seed" default:"1" description:"seed of the arrivals"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	for _, p := range []struct {
		name string
		run  func(options)
	}{{"waits", measureWaits}, {"limits", measureLimits}, {"teams", shareTrafficByTeam}, {"bytes", shareBytes}} {
		if len(o.Parts) > 0 && !slices.Contains(o.Parts, p.name) {
			continue
		}
		p.run(o)
		fmt.Println()
	}
}
