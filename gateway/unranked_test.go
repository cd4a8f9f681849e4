package gateway

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Without a recent survey a group in lock-step has its whole even share. Guards against a limit that is one
// too low where the share is a whole number, by an error of rounding.
func TestEvenShareIsNotRoundedDown(t *testing.T) {
	for slots := 1; slots <= 2000; slots++ {
		for _, gateways := range []int{1, 3, 10, 40} {
			g := &groupLimiter{lockstep: true, slots: slots}
			want := max(int(evenShareMargin*float64(slots)*g.share(gateways)), 1)
			assert.Equal(t, g.limit(start, gateways), want, "%d slots, %d gateways", slots, gateways)
		}
	}
}
