package kernel

import (
	"errors"
	"net"
	"net/http"

	"github.com/go-kit/log"
)

// ServeHTTP serves until the server is closed. It logs any other error, after which
// the address is no longer served.
func ServeHTTP(l log.Logger, srv *http.Server, lis net.Listener) {
	if err := srv.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
		Warn(l, "HTTP server failed; the address is no longer served.", "addr", lis.Addr(), "err", err)
	}
}
