// Command rollout measures the steps that a lock-step group loses per switch of its
// expert map: in virtual time for various sizes, delays and faults, and in real time
// over loopback sockets with the whole system in one process.
package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Switches int           `long:"switches" default:"200" description:"switches of each case in virtual time"`
	Real     time.Duration `long:"real" default:"15s" description:"time of the run over sockets; 0 leaves it out"`
	Ranks    int           `long:"ranks" default:"8" description:"ranks of the run over sockets"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	runVirtual(o.Switches)
	printSizes()
	if o.Real > 0 {
		if err := runOverSockets(o.Real, o.Ranks); err != nil {
			fmt.Fprintln(os.Stderr, "rollout:", err)
			os.Exit(1)
		}
	}
}

// runVirtual runs each case in virtual time and prints a line for it.
func runVirtual(switches int) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "RANKS\tSTEP\tONE WAY\tLOG WRITE\tFAULT\tSWITCHES\tCANCELLED\tSTEPS LOST MEAN\tMAX\tSTALL MAX\tBEGIN TO IN FORCE MEAN")
	for _, c := range cases() {
		s := newSim(c)
		r := s.measure(switches)
		fmt.Fprintf(w, "%d\t%v\t%v\t%v\t%s\t%d\t%d\t%.2f\t%.1f\t%v\t%v\n", c.ranks, c.step, c.oneWay, c.logWrite, c.fault,
			r.switches, r.cancelled, r.lostMean, r.lostMax, r.stallMax.Round(time.Millisecond), r.took.Round(time.Millisecond))
	}
}

func cases() []simConfig {
	var list []simConfig
	for _, ranks := range []int{4, 16, 32} {
		for _, step := range []time.Duration{5 * time.Millisecond, 20 * time.Millisecond} {
			for _, logWrite := range []time.Duration{3 * time.Millisecond, 15 * time.Millisecond} {
				list = append(list, simConfig{ranks: ranks, step: step, oneWay: time.Millisecond, logWrite: logWrite, fault: noFault})
			}
		}
	}
	for _, f := range []fault{jitter, armLost, commitLost, leaderBeforeDecision, leaderAfterDecision, rankWhileArmed} {
		list = append(list, simConfig{ranks: 16, step: 5 * time.Millisecond, oneWay: time.Millisecond, logWrite: 3 * time.Millisecond, fault: f})
	}
	return list
}
