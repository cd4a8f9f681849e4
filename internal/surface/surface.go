// Package surface helps fuzz targets to send malformed input to listening addresses:
// raw bytes to an HTTP server, and raw bytes or malformed messages to a drpc server
// after its handshake. It periodically checks that the process still responds and
// that its memory is bounded.
package surface

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	"storj.io/drpc"
	"storj.io/drpc/drpcwire"

	"github.com/snipereach/snipereach/transport"
)

const (
	// inputsPerCheck is the number of inputs between two checks.
	inputsPerCheck = 2000
	// maxHeap bounds the live heap of the test process, in bytes.
	maxHeap = 256 << 20
	// responseTimeout bounds the wait for a response.
	responseTimeout = 2 * time.Second
	// drpcWait is how long Send waits for a server to handle its input.
	drpcWait = 3 * time.Millisecond
)

// HealthCheck counts inputs and checks the process after every inputsPerCheck of them.
type HealthCheck struct {
	// Health is a URL that must respond with status 200.
	Health string
	inputs atomic.Int64
}

// CountInput counts one input and calls Check on the first and on every inputsPerCheck-th
// one after it.
func (w *HealthCheck) CountInput(t *testing.T) {
	t.Helper()
	if w.inputs.Add(1)%inputsPerCheck == 1 {
		w.Check(t)
	}
}

// Check fails the test if the process doesn't respond or its live heap exceeds maxHeap.
func (w *HealthCheck) Check(t *testing.T) {
	t.Helper()
	client := http.Client{Timeout: responseTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(w.Health)
	if err != nil {
		t.Fatalf("process doesn't respond: %v", err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("process responds with status %d", resp.StatusCode)
	}
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	if m.HeapAlloc > maxHeap {
		t.Fatalf("live heap is %d bytes after %d inputs", m.HeapAlloc, w.inputs.Load())
	}
}

// SendRaw sends data to an address and returns the response up to the end of the
// connection.
func SendRaw(t *testing.T, address string, data []byte) []byte {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(responseTimeout))
	_, _ = conn.Write(data)
	_ = conn.(*net.TCPConn).CloseWrite()
	answer, _ := io.ReadAll(conn)
	return answer
}

// OperatorRequests returns seed requests for an operators' address that serves only the state dump
// and metrics: valid, unsupported and malformed ones.
func OperatorRequests() []string {
	return []string{
		"GET /debug/state HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET /debug/state HTTP/1.0\r\n\r\nGET /metrics HTTP/1.1\r\n\r\n",
		strings.Repeat("GET /debug/state HTTP/1.1\r\nHost: a\r\n\r\n", 20),
		"POST /debug/state HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}",
		"POST /debug/state HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999\r\n\r\n",
		"POST /metrics HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nffffffffff\r\n{}",
		"GET /debug/../metrics?x=%zz HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET /debug/state HTTP/1.1\r\nHost: a\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n",
		"HEAD /metrics HTTP/1.1\r\nHost: a\r\nRange: bytes=0-,9-1\r\n\r\n",
		"CONNECT /metrics HTTP/1.1\r\nHost: a\r\n\r\n", "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n",
		"PUT /v1/table/limit/a/b HTTP/1.1\r\nHost: a\r\nContent-Length: 14\r\n\r\n{\"columns\":{}}",
		"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef",
		"GET /metrics HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("X: y\r\n", 2000) + "\r\n",
		"GET /" + strings.Repeat("a", 1<<16) + " HTTP/1.1\r\n",
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "\x16\x03\x01\x00\x01", "\x00", "",
	}
}

// Peers sends input to a drpc server as a peer with the cluster secret.
type Peers struct {
	Address string
	pool    *transport.Pool
	methods []string
	seeds   [][]byte
}

// NewPeers returns a sender for all methods of the services.
func NewPeers(address, secret string, services ...drpc.Description) *Peers {
	p := &Peers{Address: address, pool: transport.NewPool(transport.Security{Secret: []byte(secret)})}
	for _, s := range services {
		for n := range s.NumMethods() {
			name, _, _, _, _ := s.Method(n)
			p.methods = append(p.methods, name)
			p.seeds = append(p.seeds, seedMessages(name)...)
		}
	}
	return p
}

// AddSeeds adds the seed corpus: for each method an empty message, one with every field
// set, and one with every number at its largest; and some raw bytes.
func (p *Peers) AddSeeds(f *testing.F) {
	for n := range p.methods {
		for _, msg := range p.seeds[3*n : 3*n+3] {
			f.Add(uint8(n), msg, false)
		}
	}
	for _, raw := range []string{"", "GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x00", "\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff", "\x03\x01\x01\x02/x"} {
		f.Add(uint8(0), []byte(raw), true)
	}
}

// Send calls a method with data as its encoded message, or sends data in place of the
// framed call if raw is set. It doesn't check the response.
func (p *Peers) Send(t *testing.T, method uint8, data []byte, raw bool) {
	t.Helper()
	conn, err := p.pool.Dial(context.Background(), p.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	out := data
	if !raw {
		out = p.frameCall(int(method)%len(p.methods), data)
	}
	_ = conn.SetDeadline(time.Now().Add(drpcWait))
	_, _ = conn.Write(out)
	_, _ = conn.Read(make([]byte, 512))
}

// frameCall returns the frames of an invocation, one message and the close of the
// sending side.
func (p *Peers) frameCall(method int, data []byte) []byte {
	var out []byte
	for i, part := range []struct {
		kind drpcwire.Kind
		data []byte
	}{
		{drpcwire.KindInvoke, []byte(p.methods[method])},
		{drpcwire.KindMessage, data},
		{drpcwire.KindCloseSend, nil},
	} {
		out = drpcwire.AppendFrame(out, drpcwire.Frame{
			Data: part.data, Kind: part.kind, Done: true,
			ID: drpcwire.ID{Stream: 1, Message: uint64(i + 1)},
		})
	}
	return out
}

// seedMessages returns three encoded messages of a method's input type: an empty one,
// one with small and one with largest numbers.
func seedMessages(method string) [][]byte {
	service, name := protoreflect.FullName(method[1:]), protoreflect.Name("")
	for i := len(service) - 1; i >= 0; i-- {
		if service[i] == '/' {
			service, name = service[:i], protoreflect.Name(service[i+1:])
			break
		}
	}
	d, err := protoregistry.GlobalFiles.FindDescriptorByName(service)
	if err != nil {
		return [][]byte{nil, nil, nil}
	}
	input := d.(protoreflect.ServiceDescriptor).Methods().ByName(name).Input()
	kind, err := protoregistry.GlobalTypes.FindMessageByName(input.FullName())
	if err != nil {
		return [][]byte{nil, nil, nil}
	}
	out := [][]byte{nil}
	for _, largest := range []bool{false, true} {
		m := kind.New()
		setFields(m, largest, 3)
		b, _ := proto.Marshal(m.Interface())
		out = append(out, b)
	}
	return out
}

// setFields sets every field of a message except maps, to a depth of nested messages.
func setFields(m protoreflect.Message, largest bool, depth int) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		switch {
		case f.IsMap():
		case f.IsList():
			if f.Message() == nil || depth > 0 {
				list := m.Mutable(f).List()
				list.Append(fieldValue(list.NewElement(), f, largest, depth))
			}
		case f.Message() != nil && depth == 0:
		default:
			m.Set(f, fieldValue(m.NewField(f), f, largest, depth))
		}
	}
}

func fieldValue(zero protoreflect.Value, f protoreflect.FieldDescriptor, largest bool, depth int) protoreflect.Value {
	if f.Message() != nil {
		setFields(zero.Message(), largest, depth-1)
		return zero
	}
	switch f.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.StringKind:
		return protoreflect.ValueOfString("x")
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte("x"))
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(numberOrOne[protoreflect.EnumNumber](largest, 99))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(numberOrOne[float64](largest, 1e300))
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(numberOrOne(largest, ^uint32(0)))
	case protoreflect.Uint64Kind:
		return protoreflect.ValueOfUint64(numberOrOne(largest, ^uint64(0)))
	case protoreflect.Int32Kind:
		return protoreflect.ValueOfInt32(numberOrOne[int32](largest, 1<<31-1))
	case protoreflect.Int64Kind:
		return protoreflect.ValueOfInt64(numberOrOne[int64](largest, 1<<63-1))
	}
	return zero
}

func numberOrOne[N protoreflect.EnumNumber | int32 | int64 | uint32 | uint64 | float64](largest bool, largestValue N) N {
	if largest {
		return largestValue
	}
	return 1
}
