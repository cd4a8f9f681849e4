package transport

import (
	"strings"
	"sync"

	"github.com/rcrowley/go-metrics"
	"storj.io/drpc"
	"storj.io/drpc/drpcenc"
)

// Traffic counts the messages and bytes of a server's calls by method, in metrics named by a prefix,
// SERVICE.METHOD, and sent_bytes, sent_messages, received_bytes or received_messages. Bytes are those
// of encoded messages, without what the connection adds.
type Traffic struct {
	prefix   string
	registry metrics.Registry
	methods  sync.Map
}

// NewTraffic returns counters that register in r at the first call of each method.
func NewTraffic(prefix string, r metrics.Registry) *Traffic {
	return &Traffic{prefix: prefix, registry: r}
}

// methodTraffic holds the counters of one method.
type methodTraffic struct {
	sentBytes, sentMessages, receivedBytes, receivedMessages metrics.Counter
}

// forMethod returns the counters of a method such as /snipereach.wire.Routing/Watch.
func (t *Traffic) forMethod(rpc string) *methodTraffic {
	if m, ok := t.methods.Load(rpc); ok {
		return m.(*methodTraffic)
	}
	name := t.prefix + strings.ReplaceAll(rpc[strings.LastIndexByte(rpc, '.')+1:], "/", ".")
	counter := func(kind string) metrics.Counter { return metrics.GetOrRegisterCounter(name+"."+kind, t.registry) }
	m, _ := t.methods.LoadOrStore(rpc, &methodTraffic{
		sentBytes: counter("sent_bytes"), sentMessages: counter("sent_messages"),
		receivedBytes: counter("received_bytes"), receivedMessages: counter("received_messages"),
	})
	return m.(*methodTraffic)
}

// countingHandler counts the messages of all calls.
type countingHandler struct {
	drpc.Handler
	traffic *Traffic
}

// HandleRPC implements drpc.Handler.
func (h countingHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	return h.Handler.HandleRPC(&countingStream{stream, h.traffic.forMethod(rpc)}, rpc)
}

type countingStream struct {
	drpc.Stream
	traffic *methodTraffic
}

// MsgSend implements drpc.Stream.
func (s *countingStream) MsgSend(msg drpc.Message, enc drpc.Encoding) error {
	return s.Stream.MsgSend(msg, countingEncoding{enc, s.traffic})
}

// MsgRecv implements drpc.Stream.
func (s *countingStream) MsgRecv(msg drpc.Message, enc drpc.Encoding) error {
	return s.Stream.MsgRecv(msg, countingEncoding{enc, s.traffic})
}

// SetManualFlush passes the setting on; see BufferUntilReturn.
func (s *countingStream) SetManualFlush(manual bool) {
	if f, ok := s.Stream.(manualFlusher); ok {
		f.SetManualFlush(manual)
	}
}

// countingEncoding counts what it encodes and decodes.
type countingEncoding struct {
	drpc.Encoding
	traffic *methodTraffic
}

// MarshalAppend implements the optional method of drpc.Encoding that reuses a buffer.
func (e countingEncoding) MarshalAppend(buf []byte, msg drpc.Message) ([]byte, error) {
	data, err := drpcenc.MarshalAppend(msg, e.Encoding, buf)
	e.traffic.sentBytes.Inc(int64(len(data) - len(buf)))
	e.traffic.sentMessages.Inc(1)
	return data, err
}

// Unmarshal implements drpc.Encoding.
func (e countingEncoding) Unmarshal(buf []byte, msg drpc.Message) error {
	e.traffic.receivedBytes.Inc(int64(len(buf)))
	e.traffic.receivedMessages.Inc(1)
	return e.Encoding.Unmarshal(buf, msg)
}
