// Package control is a control replica: it drives the replicated log over a
// journal and a transport, applies the state machines on it (table, leases),
// and answers entries, agents and operators.
package control

import (
	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/fence"
	"github.com/snipereach/snipereach/rollout"
	"github.com/snipereach/snipereach/table"
	"github.com/snipereach/snipereach/wire"
)

// ErrMachine is returned for state that can't be read back.
var ErrMachine = merry.Sentinel("replicated state can't be read")

// machine joins the state machines on one log.
type machine struct {
	table  *table.Machine
	fence  *fence.Machine
	formed bool
	ring   *wire.Ring
	groups *rollout.Machine
}

func newMachine() *machine {
	return &machine{table: table.NewMachine(), fence: fence.NewMachine(), ring: &wire.Ring{}, groups: rollout.NewMachine()}
}

// apply carries out a committed command. The result is a *wire.EditReply, a
// *wire.Lease, a rollout.Result or nil.
func (m *machine) apply(index uint64, data []byte) any {
	c := &wire.Command{}
	if err := proto.Unmarshal(data, c); err != nil {
		return nil
	}
	switch {
	case c.GetEdit() != nil:
		return m.table.Apply(index, c.GetEdit())
	case c.GetLease() != nil:
		return m.fence.Apply(index, c.GetLease())
	case c.GetGroup() != nil:
		return m.groups.Apply(index, c.GetGroup(), m.fence.Token(c.GetGroup().Group))
	case c.GetFormed() != nil:
		m.formed = true
	case c.GetRing() != nil:
		// Two leaders in turn may propose the same epoch; the first holds.
		if r := c.GetRing(); r.Epoch == m.ring.Epoch+1 {
			m.ring = r
		}
	}
	return nil
}

func (m *machine) snapshot() ([]byte, error) {
	return proto.Marshal(&wire.MachineSnapshot{
		Table: m.table.Snapshot(), Fence: m.fence.Snapshot(), Formed: m.formed, Ring: m.ring,
		Groups: m.groups.Snapshot(),
	})
}

func (m *machine) restore(data []byte) error {
	s := &wire.MachineSnapshot{}
	if err := proto.Unmarshal(data, s); err != nil {
		return merry.Prepend(ErrMachine, err.Error())
	}
	m.table.Restore(s.Table)
	m.fence.Restore(s.Fence)
	m.groups.Restore(s.Groups)
	m.formed = s.Formed
	m.ring = s.Ring
	if m.ring == nil {
		m.ring = &wire.Ring{}
	}
	return nil
}
