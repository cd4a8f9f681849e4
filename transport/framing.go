package transport

import "net/http"

// MaxResponseHeadBytes bounds the head of a response, and each informational one before it.
const MaxResponseHeadBytes = 16 << 10

// HasFraming reports whether a response has a Content-Length or is chunked. Otherwise it ends
// with the connection, so that a truncated body can't be detected.
func HasFraming(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}
