// Package routing is the configuration of callers' requests as one versioned
// document: which route takes a request, which services serve it, whose key it
// shows.
//
// Check says whether a document may be in force, Machine holds the one in force
// as a state machine on the replicated log, and Table answers requests from it.
// All are pure.
package routing
