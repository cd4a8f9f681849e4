// Package gateway is an entry for callers that name a service by host and path. It
// answers each request once: it finds the route and the team, chooses an upstream,
// calls it by HTTP and passes the answer on, whole or event by event.
//
// What decides is in packages without network: routing (which route), route (which
// upstream), forward.Budget (how many retries), and Policy here (what becomes of a
// request after an attempt).
package gateway
