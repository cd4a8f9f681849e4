package kernel

import (
	"errors"
	"net"
	"net/http"

	"github.com/go-kit/log"
)

// ServeHTTP serves until the server is closed. Any other end is told: callers of the
// address find nobody from then on.
func ServeHTTP(l log.Logger, srv *http.Server, lis net.Listener) {
	if err := srv.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
		Warn(l, "No longer listening.", "addr", lis.Addr(), "err", err)
	}
}
