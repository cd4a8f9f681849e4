package gateway

import "time"

const (
	// retryAfterDown is the Retry-After while no group of the service is available. A group
	// usually forms again within it once its rank is back.
	retryAfterDown = 1500 * time.Millisecond
	// retryAfterIncomplete is the Retry-After while all groups of the service are incomplete.
	// Starting the missing ranks takes longer than most callers wait.
	retryAfterIncomplete = 5 * time.Second
	// retryAfterMin is the Retry-After when few requests are refused for lack of slots, and
	// retryAfterMax when nearly all are. A full service has free slots all the time, and callers
	// with the longest timeouts wait little longer than retryAfterMax at most.
	retryAfterMin = 600 * time.Millisecond
	retryAfterMax = 2500 * time.Millisecond
	// refusedSmoothing is the EWMA smoothing factor of the refused fraction, per request: some
	// twenty requests make the estimate.
	refusedSmoothing = 0.05
)

// retryAfterEstimator computes Retry-After for requests that find no slot. It grows with the
// fraction of requests that are refused, as a caller that retries during the same overload is
// refused again.
type retryAfterEstimator struct {
	// refusedFraction is the EWMA of the fraction of requests that found no slot.
	refusedFraction float64
}

// admitted records an admitted request.
func (e *retryAfterEstimator) admitted() { e.refusedFraction -= refusedSmoothing * e.refusedFraction }

// refused records a refused request and returns its Retry-After.
func (e *retryAfterEstimator) refused() time.Duration {
	e.refusedFraction += refusedSmoothing * (1 - e.refusedFraction)
	return e.delay()
}

// delay returns the Retry-After for the current refused fraction.
func (e *retryAfterEstimator) delay() time.Duration {
	return retryAfterMin + time.Duration(e.refusedFraction*float64(retryAfterMax-retryAfterMin))
}
