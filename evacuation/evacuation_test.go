package evacuation_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipereach/snipereach/evacuation"
	"github.com/snipereach/snipereach/table"
	"github.com/snipereach/snipereach/wire"
)

// cluster is the committed log of the table with replicas that have applied parts of it.
type cluster struct {
	log      []*wire.TableEdit
	replicas []*replica
	edits    int
}

type replica struct {
	machine *table.Machine
	applied int
}

func newCluster(replicas int) *cluster {
	c := &cluster{}
	for range replicas {
		c.replicas = append(c.replicas, &replica{machine: table.NewMachine()})
	}
	return c
}

// catchUp applies the log at a replica up to an index.
func (c *cluster) catchUp(r *replica, to int) {
	for ; r.applied < to; r.applied++ {
		r.machine.Apply(uint64(r.applied+1), c.log[r.applied])
	}
}

// order returns the edit with which a replica would carry out an order now.
func (c *cluster) order(r *replica, domain string, evacuate bool) *wire.TableEdit {
	c.edits++
	row := evacuation.Row(domain, evacuate, r.machine.VersionOf(table.KindEvacuation, domain))
	return &wire.TableEdit{EditId: fmt.Sprint(c.edits), By: "operator", Rows: []*wire.RowEdit{row}}
}

// commit appends an edit to the log, applies it at one replica and returns the reply.
func (c *cluster) commit(leader *replica, e *wire.TableEdit) *wire.EditReply {
	c.catchUp(leader, len(c.log))
	c.log = append(c.log, e)
	reply := leader.machine.Apply(uint64(len(c.log)), e)
	leader.applied = len(c.log)
	return reply
}

// Guards against requests sent to an evacuated domain, or a domain left unused, after any schedule of
// orders, replicas that lag, gateways that restart, and orders that arrive late.
func TestGatewaysEndWithTheLastAcknowledgedOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(3)
		trackers := make([]*evacuation.Tracker, 4)
		for i := range trackers {
			trackers[i] = &evacuation.Tracker{}
		}
		domains := []string{"a", "b"}
		wanted := map[string]bool{}
		var late []*wire.TableEdit
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			r := c.replicas[rapid.IntRange(0, 2).Draw(t, "replica")]
			g := rapid.IntRange(0, len(trackers)-1).Draw(t, "gateway")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				// An order is decided from an up-to-date replica and acknowledged.
				c.catchUp(r, len(c.log))
				domain, evacuate := rapid.SampledFrom(domains).Draw(t, "domain"), rapid.Bool().Draw(t, "evacuate")
				reply := c.commit(r, c.order(r, domain, evacuate))
				assert.Equal(t, reply.Status, wire.EditStatus_EDIT_STATUS_ACCEPTED)
				wanted[domain] = evacuate
			case 1:
				// A copy of an order is held up on its way to the leader.
				c.catchUp(r, len(c.log))
				late = append(late, c.order(r, rapid.SampledFrom(domains).Draw(t, "late domain"), rapid.Bool().Draw(t, "late evacuate")))
			case 2:
				if len(late) > 0 {
					e := late[0]
					late = late[1:]
					if c.commit(r, e).Status == wire.EditStatus_EDIT_STATUS_ACCEPTED {
						// Nothing was decided about the domain since the order was given.
						wanted[e.Rows[0].Key] = e.Rows[0].Columns["evacuated"] == "yes"
					}
				}
			case 3:
				c.catchUp(r, rapid.IntRange(r.applied, len(c.log)).Draw(t, "applied"))
			case 4:
				before := trackers[g].Current()
				if trackers[g].Adopt(evacuation.FromTable(r.machine)) && before != nil {
					assert.Assert(t, trackers[g].Current().Revision > before.Revision)
				}
			case 5:
				trackers[g] = &evacuation.Tracker{}
			}
		}
		for _, r := range c.replicas {
			c.catchUp(r, len(c.log))
		}
		for _, tr := range trackers {
			tr.Adopt(evacuation.FromTable(c.replicas[0].machine))
			for _, d := range domains {
				assert.Equal(t, tr.Current().Contains(d), wanted[d], "domain %s", d)
			}
		}
	})
}

// Guards against an order that is held up in the network and undoes a later one.
func TestLateOrderDoesNotUndoALaterOne(t *testing.T) {
	c := newCluster(1)
	r := c.replicas[0]
	held := c.order(r, "a", true)
	c.commit(r, c.order(r, "a", true))
	c.commit(r, c.order(r, "a", false))
	assert.Equal(t, c.commit(r, held).Status, wire.EditStatus_EDIT_STATUS_CONFLICT)
	assert.Assert(t, !evacuation.FromTable(r.machine).Contains("a"))
}

// Guards against acknowledged evacuations that are gone after a restart from a snapshot.
func TestEvacuationsOutliveASnapshot(t *testing.T) {
	c := newCluster(1)
	r := c.replicas[0]
	c.commit(r, c.order(r, "a", true))
	restored := table.NewMachine()
	restored.Restore(r.machine.Snapshot())
	assert.DeepEqual(t, evacuation.FromTable(restored), evacuation.FromTable(r.machine))
	assert.Assert(t, evacuation.FromTable(restored).Contains("a"))
}
