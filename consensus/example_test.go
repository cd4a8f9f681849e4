package consensus_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/snipereach/snipereach/consensus"
	"github.com/snipereach/snipereach/wire"
)

// A log with one voter. The driver makes the records of a Ready durable before it sends
// the messages and applies the entries.
func Example() {
	cfg := consensus.DefaultConfig("a")
	cfg.Rand = rand.New(rand.NewPCG(1, 1))
	node := consensus.New(cfg, consensus.Bootstrap(&wire.Peer{Id: "a"}), 0)

	step := func() {
		for rd := node.Ready(); !rd.Empty(); rd = node.Ready() {
			// Make rd.HardState, rd.Snapshot and rd.Entries durable here.
			node.MarkPersisted()
			// Send rd.Messages here.
			for _, e := range rd.CommittedEntries {
				if e.Type == wire.EntryType_ENTRY_TYPE_COMMAND {
					fmt.Printf("applied %s at %d\n", e.Data, e.Index)
				}
			}
		}
	}
	node.Tick(10 * time.Millisecond)
	step()
	if _, _, err := node.Propose(20*time.Millisecond, []byte("slots=8")); err != nil {
		fmt.Println(err)
	}
	step()
	// Output: applied slots=8 at 3
}
