package claim_test

import (
	"fmt"
	"time"

	"github.com/snipereach/snipereach/claim"
	"github.com/snipereach/snipereach/wire"
)

// With three registers in one process, the first request wins the key, and a second
// sending learns that it is held.
func Example() {
	now := time.Unix(0, 0)
	ring := &wire.Ring{Epoch: 1}
	registers := map[string]*claim.Register{}
	for i, id := range []string{"a", "b", "c"} {
		ring.Members = append(ring.Members, &wire.RingMember{Id: id, FailureDomain: fmt.Sprint(i), Incarnation: 1})
	}
	for _, m := range ring.Members {
		r := claim.NewRegister(claim.DefaultRegisterSettings(), &wire.Incarnation{Id: m.Id, Number: 1}, now)
		r.SetRing(ring)
		registers[m.Id] = r
	}
	key := &wire.ClaimKey{Team: "growers", Service: "clock-core", Key: "bid-17"}
	for _, request := range []string{"first", "resent"} {
		c := claim.NewRound(ring, key, false)
		for _, m := range c.Targets() {
			c.AddReply(m.Id, registers[m.Id].Grant(now, &wire.ClaimRequest{Key: key, RequestId: request, RingEpoch: 1}))
		}
		verdict, _ := c.Verdict()
		fmt.Println(request, verdict == claim.Won, verdict == claim.Held)
	}
	// Output:
	// first true false
	// resent false true
}
