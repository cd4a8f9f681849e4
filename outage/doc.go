// Package outage estimates when a group that serves nothing will have formed again, and decides
// which requests to hold until then and when the callers of the others are to come back.
//
// A Tracker observes one group. From its Forecast, Request.Decide chooses between holding a request
// and refusing it with a Retry-After, and Returns spreads the callers that come back. All are pure:
// they take times, observations and random numbers, and have no goroutine, socket or clock.
package outage
