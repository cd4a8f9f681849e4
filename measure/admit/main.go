// Command admit measures who waits, in a seeded model of queues in virtual time at
// today's size: 7 entries, 16 engines, 10 teams of which a few are large, one
// compressed day of each user. It prints the naive FIFO beside the gate and beside
// a single queue for all upstreams; how limits are kept; and what shares cost.
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
	}{{"waits", waits}, {"limits", limits}, {"teams", teamsAsked}, {"bytes", shareBytes}} {
		if len(o.Parts) > 0 && !slices.Contains(o.Parts, p.name) {
			continue
		}
		p.run(o)
		fmt.Println()
	}
}
