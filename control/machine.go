// Package control is a control replica: it drives the replicated log over a
// journal and a transport, applies the state machines on it (table, leases),
// and answers entries, agents and operators.
package control

import (
	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/fence"
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
}

func newMachine() *machine {
	return &machine{table: table.NewMachine(), fence: fence.NewMachine()}
}

// apply carries out a committed command. The result is a *wire.EditReply, a
// *wire.Lease or nil.
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
	case c.GetFormed() != nil:
		m.formed = true
	}
	return nil
}

func (m *machine) snapshot() ([]byte, error) {
	return proto.Marshal(&wire.MachineSnapshot{
		Table: m.table.Snapshot(), Fence: m.fence.Snapshot(), Formed: m.formed,
	})
}

func (m *machine) restore(data []byte) error {
	s := &wire.MachineSnapshot{}
	if err := proto.Unmarshal(data, s); err != nil {
		return merry.Prepend(ErrMachine, err.Error())
	}
	m.table.Restore(s.Table)
	m.fence.Restore(s.Fence)
	m.formed = s.Formed
	return nil
}
