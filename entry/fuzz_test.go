package entry_test

import (
	"context"
	"strings"
	"testing"

	"github.com/go-kit/log"

	"github.com/snipereach/snipereach/internal/surface"
	"github.com/snipereach/snipereach/quickstart"
	"github.com/snipereach/snipereach/wire"
)

// startSystem starts a system for a fuzz target. The returned watch checks the health of
// its first entry.
func startSystem(f *testing.F) (sys *quickstart.System, watch *surface.HealthCheck) {
	f.Helper()
	sys, err := quickstart.Start(context.Background(), quickstart.Options{Log: log.NewNopLogger(), FakeDisks: true})
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(sys.Stop)
	if err := sys.WaitReady(context.Background()); err != nil {
		f.Fatal(err)
	}
	for _, e := range sys.Engines {
		e.Step = 0
	}
	return sys, &surface.HealthCheck{Health: "http://" + sys.Entries[0].CallerAddress() + "/healthz"}
}

func seedRequests(key string, more ...string) []string {
	auth := "Authorization: Bearer " + key + "\r\n"
	body := `{"model":"pushpa-lm","max_tokens":2,"messages":[{"role":"user","content":"a lot"}]}`
	return append([]string{
		"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET /v1/entries HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET /v1/refusals/AAAA HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n" + auth + "Content-Length: 85\r\n\r\n" + body,
		"POST /v1/completions HTTP/1.1\r\nHost: a\r\n" + auth + "Content-Length: 9\r\n\r\n{\"model\":",
		"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n" + auth + "Transfer-Encoding: chunked\r\n\r\nffffffffff\r\n{}",
		"POST /services/clock-core/a%2fb?x=%zz HTTP/1.1\r\nHost: a\r\n" + auth + "Idempotency-Key: k\r\nContent-Length: 0\r\n\r\n",
		"POST /services/clock-core/../v1 HTTP/1.1\r\nHost: a\r\n" + auth + "X-Priority: no\r\nX-Timeout-Ms: -1\r\nContent-Length: 0\r\n\r\n",
		"PUT /v1/table/limit/a/b HTTP/1.1\r\nHost: a\r\n" + auth + "If-Match: \"1\"\r\nContent-Length: 14\r\n\r\n{\"columns\":{}}",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef",
		"GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("X: y\r\n", 2000) + "\r\n",
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "\x16\x03\x01\x00\x01", "",
	}, more...)
}

// FuzzCallers checks that the entry keeps answering, with bounded memory, whatever is
// sent to the callers' address.
func FuzzCallers(f *testing.F) {
	sys, watch := startSystem(f)
	for _, r := range seedRequests(quickstart.TeamKey) {
		f.Add([]byte(r))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		surface.SendRaw(t, sys.Entries[0].CallerAddress(), data)
		watch.CountInput(t)
	})
}

// FuzzOperators does the same at the operators' address.
func FuzzOperators(f *testing.F) {
	sys, watch := startSystem(f)
	for _, r := range seedRequests(quickstart.OperatorKey, "GET /debug/state HTTP/1.1\r\nHost: a\r\n\r\n") {
		f.Add([]byte(r))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		surface.SendRaw(t, sys.Entries[0].OperatorAddress(), data)
		watch.CountInput(t)
	})
}

// FuzzPeers sends malformed messages of a peer that knows the cluster secret to the
// entry's directory and claim register.
func FuzzPeers(f *testing.F) {
	sys, watch := startSystem(f)
	peers := surface.NewPeers(sys.Entries[0].InternalAddress(), quickstart.ClusterSecret,
		wire.DRPCDirectoryDescription{}, wire.DRPCClaimDescription{})
	peers.AddSeeds(f)
	f.Fuzz(func(t *testing.T, method uint8, data []byte, raw bool) {
		peers.Send(t, method, data, raw)
		watch.CountInput(t)
	})
}
