package main

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/admit"
	"github.com/snipereach/snipereach/internal/meter"
	"github.com/snipereach/snipereach/wire"
)

// shareRounds is the number of share calls that each entry makes in a measurement.
const shareRounds = 4

// measureShares measures what the division of limits costs: the size of an entry's
// request by number of active teams, and the allocator's processor time for each team of
// an entry.
func measureShares(o options) error {
	fmt.Printf("%8s %8s %18s %18s\n", "entries", "teams", "B/call in", "allocator µs/team")
	for _, c := range []struct{ entries, teams int }{{20, 100}, {20, 1000}, {200, 100}, {2000, 10}} {
		allocator := admit.NewShareAllocator(time.Unix(0, 0), "measure")
		now := time.Unix(100, 0)
		began := meter.ProcessorTime()
		for round := range uint64(shareRounds) {
			for e := range c.entries {
				name := fmt.Sprint("entry-", e)
				if !allocator.AcceptReport(now, admit.Report{Entry: name, Incarnation: 1, Seq: round + 1, Allocator: allocator.Name(now)}) {
					return fmt.Errorf("the allocator rejected the report of %s", name)
				}
				grantShares(allocator, now, name, c.teams)
			}
			now = now.Add(admit.ShareRetryInterval)
		}
		took := meter.ProcessorTime() - began
		size := proto.Size(newShareRequest(c.teams))
		fmt.Printf("%8d %8d %18d %18.2f\n", c.entries, c.teams, size,
			meter.Micros(took)/float64(shareRounds*c.entries*c.teams))
	}
	return measureShareCalls(o)
}

func grantShares(allocator *admit.ShareAllocator, now time.Time, entry string, teams int) {
	for t := range teams {
		allocator.Grant(now, entry, admit.Subject{Team: fmt.Sprint("team-", t)}, sampleLimit,
			admit.Demand{Wanted: admit.Amounts{Requests: 1, Tokens: 200, Concurrent: 2}}, time.Second)
	}
}

var sampleLimit = admit.Amounts{Requests: 30, Tokens: 6000, Concurrent: 50}

func newShareRequest(teams int) *wire.ShareRequest {
	req := &wire.ShareRequest{Entry: "entry-00001", Incarnation: 1764670000000000000}
	for t := range teams {
		req.Demands = append(req.Demands, &wire.ShareDemand{
			Team: fmt.Sprintf("team-%04d", t), Service: "pushpa-lm", Requests: 1.25, Tokens: 212.5, Concurrent: 2, Running: 1, Ack: 4000,
		})
	}
	return req
}
