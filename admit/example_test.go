package admit_test

import (
	"fmt"
	"time"

	"github.com/snipereach/snipereach/admit"
	"github.com/snipereach/snipereach/wire"
)

// With one slot, urgent work that arrives last starts first.
func ExampleGate() {
	now := time.Unix(0, 0)
	g := admit.NewGate(admit.Settings{Slots: 1, MaxQueue: 10})
	running := &admit.Work{Team: "mechanics", Priority: wire.Priority_PRIORITY_NORMAL}
	_ = g.Offer(now, running)
	g.Start(now)
	_ = g.Offer(now, &admit.Work{Team: "mechanics", Priority: wire.Priority_PRIORITY_NORMAL, Value: "summary"})
	_ = g.Offer(now, &admit.Work{Team: "yard", Priority: wire.Priority_PRIORITY_URGENT, Value: "ping"})
	g.Done(now, running)
	start, _ := g.Start(now)
	fmt.Println(start[0].Value)
	// Output: ping
}
