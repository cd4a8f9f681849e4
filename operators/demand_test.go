package operators_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/gorilla/mux"
	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/control"
	"github.com/snipereach/snipereach/demand"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

// demandReplica is a stand-in of a control replica that holds fixed sums. A silent one doesn't answer, and
// a failing one returns an error.
type demandReplica struct {
	wire.DRPCDemandUnimplementedServer
	services        []*wire.DemandTotals
	silent, failing bool
}

func (r *demandReplica) List(ctx context.Context, _ *wire.ListDemandRequest) (*wire.ListDemandReply, error) {
	if r.silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if r.failing {
		return nil, errors.New("no sums")
	}
	return &wire.ListDemandReply{Services: r.services}, nil
}

// demandClient returns a client of stand-in replicas, and their addresses.
func demandClient(t *testing.T, replicas ...*demandReplica) (c *control.Client, addrs []string) {
	t.Helper()
	sec := transport.Security{Secret: []byte("a secret of this test")}
	for _, r := range replicas {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		srv := transport.NewServer(sec)
		assert.NilError(t, wire.DRPCRegisterDemand(srv.Mux, r))
		ctx, cancel := context.WithCancel(context.Background())
		go srv.Serve(ctx, lis)
		t.Cleanup(func() {
			cancel()
			_ = lis.Close()
			srv.Close()
		})
		addrs = append(addrs, lis.Addr().String())
	}
	pool := transport.NewPool(sec)
	t.Cleanup(pool.Close)
	return control.NewClient(pool, addrs, "test"), addrs
}

func getDemand(r *mux.Router) *httptest.ResponseRecorder {
	req := httptest.NewRequest(http.MethodGet, "/v1/demand", http.NoBody)
	req.Header.Set("Authorization", "Bearer key")
	w := httptest.NewRecorder()
	r.ServeHTTP(w, req)
	return w
}

// Operators must see the sums of the replicas that answer while others are lost, and which ones didn't
// answer: the sums of a service are at one replica alone, so that an incomplete list looks like no contention.
func TestDemandNamesReplicasThatDontAnswer(t *testing.T) {
	c, addrs := demandClient(t, &demandReplica{silent: true}, &demandReplica{services: []*wire.DemandTotals{{
		Service: "lm", SpanMs: 5000, Gateways: 2, AgeMs: 700,
		Teams: []*wire.TeamDemand{{Team: "farm", Priority: 1, Arrived: 90, Admitted: 4, Refused: []*wire.RefusedCount{{Cause: "upstreams-busy", Count: 5}}}},
	}}}, &demandReplica{failing: true})
	w := getDemand(routerOf(t, c, staticSystem{}))
	assert.Equal(t, w.Code, http.StatusOK, w.Body.String())
	var list demand.List
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &list))
	assert.DeepEqual(t, list, demand.List{
		Services: []demand.Service{{
			Service: "lm", SpanMS: 5000, Gateways: 2, AgeMS: 700, Replica: addrs[1], FairShare: 4, Limited: true,
			Teams: []demand.Team{{
				Team: "farm", Priority: 1, Arrived: 90, Admitted: 4, Refused: 5, OverShare: true,
				Causes: []demand.CauseCount{{Cause: "upstreams-busy", Count: 5}},
			}},
		}},
		Unanswered: []string{addrs[0], addrs[2]},
	})
}

// Without contention the list must be empty, not null: the page iterates over it. Without a replica the
// call must fail, not report that nothing is contended.
func TestDemandWithoutContentionOrReplica(t *testing.T) {
	c, _ := demandClient(t, &demandReplica{})
	w := getDemand(routerOf(t, c, staticSystem{}))
	assert.Equal(t, w.Code, http.StatusOK)
	assert.Equal(t, w.Body.String(), "{\n  \"services\": []\n}\n")
	c, _ = demandClient(t, &demandReplica{failing: true})
	assert.Equal(t, getDemand(routerOf(t, c, staticSystem{})).Code, http.StatusServiceUnavailable)
	assert.Equal(t, getDemand(routerWithoutReplicas(t, staticSystem{})).Code, http.StatusServiceUnavailable)
}
