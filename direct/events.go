package direct

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/ansel1/merry/v2"
)

// ErrPartialEvent says that a stream ended in the middle of an event.
var ErrPartialEvent = merry.Sentinel("stream ended in the middle of an event")

// maxEvent bounds one event, in bytes.
const maxEvent = 1 << 20

// Event is one event of a stream.
type Event struct {
	// Raw is the event as it came, up to and with the empty line that ends it.
	Raw []byte
	// ID is the event's, empty if it has none.
	ID string
}

// Events reads a stream (text/event-stream) event by event. An upstream may stop in
// the middle of one: only whole events may be passed on, or a stream that goes on
// elsewhere would join pieces of two.
type Events struct {
	br *bufio.Reader
}

// NewEvents reads events from a body.
func NewEvents(r io.Reader) *Events { return &Events{br: bufio.NewReaderSize(r, readBuffer)} }

// Next returns the next event; io.EOF after the last one of a whole stream.
func (e *Events) Next() (Event, error) {
	var ev Event
	for {
		line, err := e.br.ReadBytes('\n')
		ev.Raw = append(ev.Raw, line...)
		if err != nil {
			return Event{}, endOf(ev, err)
		}
		if len(ev.Raw) > maxEvent {
			return Event{}, merry.Prepend(ErrMalformed, "an event is too long")
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return ev, nil
		}
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			ev.ID = string(bytes.TrimPrefix(id, []byte(" ")))
		}
	}
}

func endOf(ev Event, err error) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	if len(ev.Raw) > 0 {
		return ErrPartialEvent
	}
	return io.EOF
}
