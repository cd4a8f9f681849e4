package direct

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/memory"
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
	br    *bufio.Reader
	share *memory.Share
}

// NewEventReader creates a reader of the events in a body, which hold memory of a budget. Close must
// be called at the end.
func NewEventReader(r io.Reader, budget *MemoryBudget) *EventReader {
	return &EventReader{br: bufio.NewReaderSize(r, readBufferSize), share: budget.openShare()}
}

// Close gives the memory of the last event back.
func (e *EventReader) Close() { e.share.Clear() }

// Next returns the next event, whose bytes are valid until the next call. It returns io.EOF at the end
// of the stream, ErrPartialEvent if the stream ends in the middle of an event, and ErrInvalidResponse
// if an event is too long or the budget has too little left for it.
func (e *EventReader) Next() (Event, error) {
	e.share.Clear()
	var ev Event
	lineStart := 0
	for {
		part, err := e.br.ReadSlice('\n')
		ev.Raw = append(ev.Raw, part...)
		if len(ev.Raw) > maxEventBytes || e.share.Grow(int64(cap(ev.Raw))-e.share.Held()) != nil {
			return Event{}, merry.Prependf(ErrInvalidResponse, "event is too long after %d bytes", len(ev.Raw))
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return Event{}, streamEnd(ev, err)
		}
		text := bytes.TrimRight(ev.Raw[lineStart:], "\r\n")
		lineStart = len(ev.Raw)
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
