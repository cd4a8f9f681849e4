package backpressure

import (
	"math"
	"time"
)

const (
	// minWindow is the shortest window in which permits are counted. A longer one would allow an
	// upstream's requests to come all at once and then none, a shorter one would leave most replicas
	// without a whole permit.
	minWindow = 2 * time.Second
	// minPerS is the limit that is held to if an upstream names a lower one, in requests a second.
	// Only an answer tells that a limit has ended, so an upstream that gets no request would stay
	// limited for ever.
	minPerS = 0.1
	// MaxPerS is the highest limit that can be held to, in requests a second.
	MaxPerS = 100_000
	// permitLifetime is how long a gateway may use a permit after it asked for it. It is short, so
	// that the requests come when the permits were counted.
	permitLifetime = 250 * time.Millisecond
)

// permitsOf returns how many permits a limit allows all gateways together in each window: a whole
// number, in a window that makes their rate that of the limit.
//
// Any span as long as the window has at most that many requests. So any span of twice minWindow
// has less than 2 more than the limit's average.
func permitsOf(perS float64) (permits int, window time.Duration) {
	perS = min(max(perS, minPerS), MaxPerS)
	permits = int(math.Ceil(perS * minWindow.Seconds()))
	return permits, time.Duration(float64(permits) / perS * float64(time.Second))
}
