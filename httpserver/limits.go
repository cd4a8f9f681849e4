package httpserver

import "time"

const (
	// DefaultHeaderTimeout, DefaultIdleTimeout and DefaultHeaderBytes are the limits of listeners that set no
	// others. DefaultHeaderBytes is four times what requests' heads may have by the users' pages.
	DefaultHeaderTimeout = 5 * time.Second
	DefaultIdleTimeout   = 30 * time.Second
	DefaultHeaderBytes   = 64 << 10
	// DefaultBodyTimeout is how long a client may take for a body that nothing else bounds in time.
	DefaultBodyTimeout = 30 * time.Second

	// maxHeaderBytes bounds a head whatever the limits allow.
	maxHeaderBytes = 1 << 20
	// minRequestLine is how long a request line may be at least, beside the header fields.
	minRequestLine = 8 << 10
	// readAheadBytes is how much is read of a connection at once. The read that completes a head may hold so
	// much of the body, and the one that completes a body so much of the next head.
	readAheadBytes = 4 << 10
	// separatorBytes is the most of a header line that is neither name nor value: a colon, a space and the end
	// of the line.
	separatorBytes = 4
	// lineCost is what a header line holds once it is parsed, beside its bytes, and copied for an upstream, in
	// bytes.
	lineCost = 256
	// byteCost is how often a byte of a head is held at a time: as read, parsed, and sent on.
	byteCost = 2
	// freeBytes is what each connection may hold without drawing from the budget. Heads and bodies of most
	// requests fit, so that they are served while large ones use the budget up.
	freeBytes = 16 << 10

	// receiveBuffer is how many bytes of a connection may wait in its socket, and wideReceiveBuffer while a
	// long body is read. Bytes that a client sends behind a request wait there until that is served.
	receiveBuffer     = 32 << 10
	wideReceiveBuffer = 256 << 10

	// writeTimeout is how long a client may accept nothing of an answer. One that stops
	// reading would otherwise hold the answer until it closes its connection.
	writeTimeout = 5 * time.Second
	// maxWriteBytes bounds one write, so that the timeout measures progress also while
	// a large answer is written.
	maxWriteBytes = 64 << 10
	// lingerTime and lingerBytes bound how long, and how much, is read after a refusal that a client has not
	// read yet: closing a connection with unread bytes resets it, and the refusal would be lost.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 16 << 20
	// busyRetryAfter is the Retry-After of a refusal for lack of memory, in seconds.
	busyRetryAfter = "0.5"
)

// Limits bound what a client may send, and how long it may take or be idle.
type Limits struct {
	HeaderTimeout, IdleTimeout time.Duration
	// HeaderBytes bounds the sum of the header names and values and the host, in bytes.
	HeaderBytes int64
}

// DefaultLimits returns the limits of listeners that set no others.
func DefaultLimits() Limits {
	return Limits{HeaderTimeout: DefaultHeaderTimeout, IdleTimeout: DefaultIdleTimeout, HeaderBytes: DefaultHeaderBytes}
}

// head counts what has arrived of a request's head.
type head struct{ bytes, lines int64 }

// exceeds reports whether a head is certainly too large by the number of bytes for names and values. Of
// a head within it each line may take separatorBytes more, and each has at least one byte of its own.
func (h head) exceeds(headerBytes int64) bool {
	requestLine := max(headerBytes, minRequestLine)
	if h.lines > headerBytes+readAheadBytes {
		return true
	}
	return h.bytes-separatorBytes*h.lines > headerBytes+requestLine+readAheadBytes
}

// cost returns what the head holds once it is parsed, in bytes.
func (h head) cost() int64 { return byteCost*h.bytes + lineCost*h.lines }
