// Package routing implements the routing configuration, a single versioned document of
// the routes of requests, the services that serve them and the API keys of teams.
//
// Check validates a configuration, Machine holds the one in force as a state machine on
// the replicated log, and Table looks up requests in it. None of them does I/O or
// starts goroutines.
package routing
