// Package gateway implements the HTTP gateway. It finds the route and the team of a request by
// host, path and key, chooses an upstream, calls it by HTTP and passes the response on, whole or
// event by event.
//
// Decisions are made by code without network access: package routing matches routes, package
// route chooses upstreams, and here groupLimiter, servicePool and waitQueue decide on admission,
// attemptHistory on retries, within the limits of package retry.
package gateway
