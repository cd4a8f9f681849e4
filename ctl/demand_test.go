package ctl_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/ctl"
	"github.com/snipereach/snipereach/demand"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/operators"
	"github.com/snipereach/snipereach/quickstart"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

// serveDemand serves a list of demand as an entry does, and returns a function that runs snipereachctl
// against it.
func serveDemand(t *testing.T, list demand.List) (run func(args ...string) (code int, stdout, stderr string)) {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/demand" {
			http.NotFound(w, r)
			return
		}
		kernel.WriteJSON(w, http.StatusOK, list)
	}))
	t.Cleanup(srv.Close)
	return func(args ...string) (code int, stdout, stderr string) {
		var out, errs strings.Builder
		code = ctl.Main(append([]string{"--server", srv.URL, "--key", "k"}, args...), strings.NewReader(""), &out, &errs)
		return code, out.String(), errs.String()
	}
}

// contendedList has a service that is contended, with a team over its share, and one that isn't.
func contendedList() demand.List {
	return demand.List{
		Unanswered: []string{"127.0.0.1:9"},
		Services: demand.Merge([]demand.Reply{{Replica: "127.0.0.1:7", Services: []*wire.DemandTotals{
			{Service: "lm", SpanMs: 5000, Gateways: 40, AgeMs: 1230, Teams: []*wire.TeamDemand{
				{Team: "mill", Arrived: 20, Admitted: 20},
				{Team: "farm", Priority: 2, Arrived: 200, Admitted: 60, Refused: []*wire.RefusedCount{{Cause: "draining", Count: 1}, {Cause: "upstreams-busy", Count: 130}}},
				{Priority: 2, Arrived: 45, Admitted: 35, Refused: []*wire.RefusedCount{{Cause: "upstreams-busy", Count: 10}}},
			}},
			{Service: "tick", SpanMs: 5000, Gateways: 3, AgeMs: 40, Teams: []*wire.TeamDemand{{Team: "mill", Priority: 1, Arrived: 7, Admitted: 7}}},
		}}}),
	}
}

// Guards against operators who can't see demand that a control replica of the running system knows: the
// path from a gateway's report through the replica and an entry to the command.
func TestDemandOfRunningSystemIsShown(t *testing.T) {
	s := start(t, quickstart.Options{})
	code, out := runCtlAt(s, 0, "status", "-o", "json")
	assert.Equal(t, code, kernel.ExitOK, out)
	var status operators.Status
	// A line about the health of the cluster follows the JSON.
	assert.NilError(t, json.NewDecoder(strings.NewReader(out)).Decode(&status))
	pool := transport.NewPool(transport.Security{Secret: []byte(quickstart.ClusterSecret)})
	defer pool.Close()
	ctx, replica := context.Background(), status.Replicas[1].Address
	_, err := wire.NewDRPCDemandClient(pool.Conn(ctx, replica)).Report(ctx, &wire.DemandReport{
		Gateway: "g1", Service: "lm", SpanMs: 5000, Teams: []*wire.TeamDemand{
			{Team: "farm", Priority: 1, Arrived: 300, Admitted: 20, Refused: []*wire.RefusedCount{{Cause: "upstreams-busy", Count: 10}}},
		},
	})
	assert.NilError(t, err)
	code, out = runCtlAt(s, 0, "demand", "-o", "json")
	assert.Equal(t, code, kernel.ExitOK, out)
	var list demand.List
	assert.NilError(t, json.Unmarshal([]byte(out), &list))
	assert.Equal(t, len(list.Services), 1, out)
	got := list.Services[0]
	assert.Equal(t, got.Replica, replica)
	assert.Equal(t, got.Gateways, uint32(1))
	assert.DeepEqual(t, got.Teams, []demand.Team{{
		Team: "farm", Priority: 1, Arrived: 300, Admitted: 20, Refused: 10, OverShare: true,
		Causes: []demand.CauseCount{{Cause: "upstreams-busy", Count: 10}},
	}})
}

// Guards against operators who can't tell whose requests wait or are refused under contention, and why.
func TestDemandIsShown(t *testing.T) {
	run := serveDemand(t, contendedList())
	code, out, errs := run("demand", "-o", "tsv")
	assert.Equal(t, code, kernel.ExitOK, errs)
	assert.Equal(t, out, `lm	0	mill	20	20	0	60.0		40	1.2s	127.0.0.1:7
lm	2	farm	200	60	131 (upstreams-busy)	60.0	yes	40	1.2s	127.0.0.1:7
lm	2	(others)	45	35	10 (upstreams-busy)	60.0		40	1.2s	127.0.0.1:7
tick	1	mill	7	7	0	-		3	0s	127.0.0.1:7
`)
	assert.Equal(t, errs, "Services may be missing; no answer from control replicas 127.0.0.1:9\n")
	_, out, _ = run("demand")
	header := strings.Fields(strings.Split(out, "\n")[0])
	assert.DeepEqual(t, header, []string{
		"SERVICE", "PRIORITY", "TEAM", "ARRIVED", "ADMITTED", "REFUSED", "FAIR", "SHARE", "OVER", "GATEWAYS", "AGE", "REPLICA",
	})
	_, out, _ = run("demand", "-o", "json")
	var list demand.List
	assert.NilError(t, json.Unmarshal([]byte(out), &list))
	assert.DeepEqual(t, list, contendedList())
}
