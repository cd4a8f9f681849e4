package direct

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/ansel1/merry/v2"
)

// ErrPartialEvent is returned if a stream ends in the middle of an event.
var ErrPartialEvent = merry.Sentinel("stream ended in the middle of an event")

// maxEventBytes bounds the size of an event.
const maxEventBytes = 1 << 20

// Event is a server-sent event.
type Event struct {
	// Raw holds the bytes of the event as received, with the empty line that ends it.
	Raw []byte
	// ID is the value of the last id field, or empty if there is none.
	ID string
}

// EventReader reads a text/event-stream body. It returns only complete events: a stream that
// is resumed at another upstream must not continue in the middle of an event.
type EventReader struct {
	br *bufio.Reader
}

// NewEventReader creates a reader of the events in a body.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{br: bufio.NewReaderSize(r, readBufferSize)}
}

// Next returns the next event. It returns io.EOF at the end of the stream,
// ErrPartialEvent if the stream ends in the middle of an event, and ErrInvalidResponse if an
// event is too long.
func (e *EventReader) Next() (Event, error) {
	var ev Event
	for {
		line, err := e.br.ReadBytes('\n')
		ev.Raw = append(ev.Raw, line...)
		if err != nil {
			return Event{}, streamEnd(ev, err)
		}
		if len(ev.Raw) > maxEventBytes {
			return Event{}, merry.Prepend(ErrInvalidResponse, "event is too long")
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

// streamEnd returns the error of Next for a read error after part of an event.
func streamEnd(ev Event, err error) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	if len(ev.Raw) > 0 {
		return ErrPartialEvent
	}
	return io.EOF
}
