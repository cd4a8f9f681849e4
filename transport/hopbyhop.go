package transport

import "net/http"

var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// HopByHop reports whether a header field applies to a single connection (RFC 9110,
// section 7.6.1) and must not be forwarded.
func HopByHop(name string) bool { return hopByHop[http.CanonicalHeaderKey(name)] }
