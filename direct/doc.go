// Package direct calls upstreams by HTTP/1.1 and makes sure whose answer it is.
//
// A Client keeps connections open between calls and gives each call one of its
// own. An answer is taken only if it names the attempt that was sent; what a
// faulty upstream sends besides is read past or closes the connection, so that no
// byte of one answer ends in another.
package direct
