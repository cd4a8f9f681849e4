package direct

import (
	"io"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/transport"
)

const (
	// maxHeadLines bounds the head of a response, as transport.MaxResponseHeadBytes does.
	maxHeadLines = 256
	// maxInformational bounds the informational responses (1xx) before a response.
	maxInformational = 8
)

// headLimiter bounds the heads that are read from a connection. An upstream may send bytes without end
// that are no response: the parser would keep all of them until the request's deadline.
//
// It sees the bytes before they are buffered, and stops counting at the empty line that ends a head. Bytes
// of the body that were received with the head are not counted.
type headLimiter struct {
	r io.Reader
	// inHead says that a head is being read; bytes and lines are those of it so far.
	inHead       bool
	bytes, lines int
	// lineBytes is the length of the current line, without carriage returns.
	lineBytes int
}

// beginHead begins to count the next head.
func (l *headLimiter) beginHead() { *l = headLimiter{r: l.r, inHead: true} }

// endHead stops counting.
func (l *headLimiter) endHead() { l.inHead = false }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	n, err := l.r.Read(p)
	for _, b := range p[:n] {
		if !l.inHead {
			break
		}
		l.count(b)
		if l.bytes > transport.MaxResponseHeadBytes || l.lines > maxHeadLines {
			return 0, merry.Prepend(ErrInvalidResponse, "head is too long")
		}
	}
	return n, err
}

func (l *headLimiter) count(b byte) {
	l.bytes++
	switch {
	case b == '\n' && l.lineBytes == 0 && l.lines > 0:
		l.inHead = false
	case b == '\n':
		l.lines++
		l.lineBytes = 0
	case b != '\r':
		l.lineBytes++
	}
}
