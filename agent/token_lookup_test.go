package agent

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/control"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

// tokenServer replies with the current token, or not at all until the call is canceled.
type tokenServer struct {
	wire.DRPCControlUnimplementedServer
	silent bool
}

// Token implements the Control service.
func (r *tokenServer) Token(ctx context.Context, _ *wire.TokenRequest) (*wire.TokenReply, error) {
	if r.silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &wire.TokenReply{Token: 9}, nil
}

func serveControl(t *testing.T, sec transport.Security, r *tokenServer) (address string) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := transport.NewServer(sec)
	assert.NilError(t, wire.DRPCRegisterControl(srv.Mux, r))
	ctx, cancel := context.WithCancel(context.Background())
	go srv.Serve(ctx, lis)
	t.Cleanup(func() {
		cancel()
		_ = lis.Close()
		srv.Close()
	})
	return lis.Addr().String()
}

// A restarted agent asks a frozen replica for the current token and gets no reply. It must
// ask the next replica, as it holds back every order meanwhile.
func TestTokenLookupSkipsFrozenReplica(t *testing.T) {
	sec := transport.Security{Secret: []byte("a secret of this test")}
	pool := transport.NewPool(sec)
	defer pool.Close()
	addrs := []string{serveControl(t, sec, &tokenServer{silent: true}), serveControl(t, sec, &tokenServer{})}
	const hangs = 45 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), hangs)
	defer cancel()
	for _, list := range [][]string{addrs, {addrs[1], addrs[0]}} {
		token, err := newOrderFence(control.NewClient(pool, list, "agent")).currentToken(ctx, "g")
		assert.NilError(t, err)
		assert.Equal(t, token, uint64(9))
	}
}
