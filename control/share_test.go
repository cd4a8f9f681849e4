package control

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/admit"
	"github.com/snipereach/snipereach/table"
	"github.com/snipereach/snipereach/wire"
)

// When a service's timeout is lowered, the old one counts until the requests admitted under
// it have ended, also if both versions of the row are applied in one batch or after a restart.
func TestOldTimeoutCountsUntilItsRequestsEnd(t *testing.T) {
	r := &Replica{machine: newMachine()}
	put := func(index uint64, base uint64, timeout int) {
		reply := r.machine.table.Apply(index, &wire.TableEdit{EditId: fmt.Sprint(index), Rows: []*wire.RowEdit{
			{Kind: table.KindService, Key: "lm", BaseVersion: base, Columns: map[string]string{
				"kind": "engine", "pool": "lm", "idempotent": "yes", "timeout_ms": fmt.Sprint(timeout),
			}},
		}})
		assert.Equal(t, reply.Status, wire.EditStatus_EDIT_STATUS_ACCEPTED, reply.Detail)
	}
	reply := r.machine.table.Apply(1, &wire.TableEdit{EditId: "pool", Rows: []*wire.RowEdit{{Kind: table.KindPool, Key: "lm"}}})
	assert.Equal(t, reply.Status, wire.EditStatus_EDIT_STATUS_ACCEPTED, reply.Detail)
	put(2, 0, 40_000)
	put(3, 1, 1000)
	now := time.Unix(1000, 0)
	r.applyRowChanges(now)
	all := admit.Subject{Team: "growers", Service: "*"}
	assert.Equal(t, r.shares.requestTimeouts.Longest(now.Add(39*time.Second), all), 40*time.Second)
	assert.Equal(t, r.shares.requestTimeouts.Longest(now.Add(50*time.Second), all), time.Second)
	put(4, 2, 60_000)
	r.applyRowChanges(now.Add(time.Minute))
	assert.Equal(t, r.shares.requestTimeouts.Longest(now.Add(time.Minute), admit.Subject{Team: "growers", Service: "lm"}), time.Minute)
	assert.Equal(t, r.shares.requestTimeouts.Longest(now.Add(time.Minute), admit.Subject{Team: "growers", Service: "other"}), time.Duration(0))
}
