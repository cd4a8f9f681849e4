package transport_test

import (
	"context"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/internal/surface"
	"github.com/snipereach/snipereach/transport"
)

// A client that sends arbitrary bytes in place of the handshake gets no more than the
// server's nonce.
func FuzzHandshake(f *testing.F) {
	const nonce = 32
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f, err)
	srv := transport.NewServer(transport.Security{Secret: []byte("a secret of the tests")})
	go srv.Serve(context.Background(), lis)
	f.Cleanup(func() {
		_ = lis.Close()
		srv.Close()
	})
	for _, s := range []string{"", "GET / HTTP/1.1\r\n\r\n", string(make([]byte, 64)), string(make([]byte, 65)), string(make([]byte, 4096))} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		answer := surface.SendRaw(t, lis.Addr().String(), data)
		assert.Assert(t, len(answer) <= nonce, "%d bytes", len(answer))
	})
}
