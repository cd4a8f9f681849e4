// Package direct is an HTTP/1.1 client for upstreams that matches responses to requests.
//
// A Client pools connections and uses each for one call at a time. It accepts a response
// only if it belongs to the attempt that was sent. Other data that a faulty upstream
// sends is discarded or closes the connection, so that no byte of one response ends up
// in another.
package direct
