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

// replica answers for the token in force, or says nothing until it is given up.
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

// An agent restarts and asks for the token in force. The replica that it asks first
// froze with the connection open and says nothing. The agent looks after its rank
// with no caller that would give up; it holds every order back while it asks, so that
// the new leader's orders would wait for as long as the host is frozen. It asks the
// next replica instead.
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
