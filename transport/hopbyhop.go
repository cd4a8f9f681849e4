package transport

import "net/http"

var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// HopByHop says whether a header field belongs to one connection only (RFC 9110,
// 7.6.1) and is not passed on.
func HopByHop(name string) bool { return hopByHop[http.CanonicalHeaderKey(name)] }
