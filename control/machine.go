// Package control is a control replica: it drives the replicated log over a
// journal and a transport, applies the state machines on it (table, leases),
// and answers entries, agents and operators.
package control

import (
	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/fence"
	"github.com/snipereach/snipereach/internal/deflate"
	"github.com/snipereach/snipereach/quarantine"
	"github.com/snipereach/snipereach/rollout"
	"github.com/snipereach/snipereach/routing"
	"github.com/snipereach/snipereach/table"
	"github.com/snipereach/snipereach/wire"
)

// Errors of the state machines.
var (
	// ErrMachine is returned for state that can't be read back.
	ErrMachine = merry.Sentinel("replicated state can't be read")
	// ErrCommand is returned for a committed command that this release can't apply.
	ErrCommand = merry.Sentinel("committed command is not known to this release")
)

// rules numbers the way in which committed commands are applied. It goes up with
// each change by which one log would lead to another state: a new kind of command, a
// reference or a value that must be unique. A release that brings new rules knows the
// old ones, too, and proposes by them until all replicas run it.
const rules = 4

// firstRules are those of all commands but the ones below. A command says the
// lowest rules that carry it out, so that replicas of an older release go on as
// long as nothing new is used.
const firstRules = 1

// rulesOf returns the rules that a command needs.
func rulesOf(c *wire.Command) uint32 {
	switch {
	case c.GetQuarantine() != nil:
		return quarantineRules
	case c.GetRouting() != nil:
		return routingRules
	}
	return firstRules
}

const (
	// routingRules are those of routing configurations.
	routingRules = 2
	// deflatedRules are those of deflated commands.
	deflatedRules = 3
	// quarantineRules are those of requests in quarantine.
	quarantineRules = 4
	// leastDeflated is the size from which on a command is deflated. A configuration of
	// 400 routes, with the operator's document, is 200 kB on the log of each voter and 15
	// deflated; on hosts of a tenth of a core sending it to four others took 0.1 s, in
	// which the leader gave no sign of life.
	leastDeflated = 4 << 10
	// mostInflated bounds a deflated command: above the largest body that operators may
	// send, in its two forms.
	mostInflated = 64 << 20
)

// machine joins the state machines on one log.
type machine struct {
	table  *table.Machine
	fence  *fence.Machine
	formed bool
	ring   *wire.Ring
	groups *rollout.Machine
	// routing holds the routing configuration.
	routing    routing.Machine
	quarantine quarantine.Machine
}

// quarantineResult is the result of a committed quarantine, and the command.
type quarantineResult struct {
	quarantine.Result
	command *wire.QuarantineCommand
}

func newMachine() *machine {
	return &machine{table: table.NewMachine(), fence: fence.NewMachine(), ring: &wire.Ring{}, groups: rollout.NewMachine()}
}

// encode makes the log entry of a command.
func encode(c *wire.Command) ([]byte, error) {
	c.Rules = rulesOf(c)
	data, err := proto.Marshal(c)
	if err != nil || len(data) < leastDeflated {
		return data, err
	}
	packed, err := deflate.Pack(data)
	if err != nil {
		return nil, err
	}
	return proto.Marshal(&wire.Command{Rules: deflatedRules, Command: &wire.Command_Deflated{Deflated: packed}})
}

// decode reads a log entry.
func decode(index uint64, data []byte) (*wire.Command, error) {
	c := &wire.Command{}
	if err := proto.Unmarshal(data, c); err != nil {
		return nil, merry.Prependf(ErrCommand, "entry %d: %v", index, err)
	}
	if c.Rules > rules {
		return nil, merry.Prependf(ErrCommand, "entry %d: rules %d, this release knows %d", index, c.Rules, rules)
	}
	if c.GetDeflated() == nil {
		return c, nil
	}
	data, err := deflate.Unpack(c.GetDeflated(), mostInflated)
	if err != nil {
		return nil, merry.Prependf(ErrCommand, "entry %d: %v", index, err)
	}
	return decode(index, data)
}

// apply carries out a committed command. The result is a *wire.EditReply, a
// *wire.Lease, a rollout.Result, a routingResult, a quarantineResult or nil.
//
// A replica of an older release that passed over a command of a newer one would go on
// with another state than the others: the row that it serves, or the snapshot that it
// sends, would lack what was accepted. It stops instead, and goes on once upgraded.
func (m *machine) apply(index uint64, data []byte) (any, error) {
	c, err := decode(index, data)
	if err != nil {
		return nil, err
	}
	switch {
	case c.GetEdit() != nil:
		return m.table.Apply(index, c.GetEdit()), nil
	case c.GetLease() != nil:
		return m.fence.Apply(index, c.GetLease()), nil
	case c.GetGroup() != nil:
		return m.groups.Apply(index, c.GetGroup(), m.fence.Token(c.GetGroup().Group)), nil
	case c.GetRouting() != nil:
		accepted := m.routing.Apply(c.GetRouting())
		return routingResult{accepted: accepted, version: m.routing.Current().Version}, nil
	case c.GetQuarantine() != nil:
		return quarantineResult{Result: m.quarantine.Apply(c.GetQuarantine()), command: c.GetQuarantine()}, nil
	case c.GetFormed() != nil:
		m.formed = true
	case c.GetRing() != nil:
		// Two leaders in turn may propose the same epoch; the first holds.
		if r := c.GetRing(); r.Epoch == m.ring.Epoch+1 {
			m.ring = r
		}
	default:
		return nil, merry.Prependf(ErrCommand, "entry %d: no known kind", index)
	}
	return nil, nil
}

func (m *machine) snapshot() ([]byte, error) {
	needs := uint32(firstRules)
	if m.routing.Current() != nil {
		needs = routingRules
	}
	if !m.quarantine.Empty() {
		needs = quarantineRules
	}
	return proto.Marshal(&wire.MachineSnapshot{
		Rules: needs, Table: m.table.Snapshot(), Fence: m.fence.Snapshot(), Formed: m.formed, Ring: m.ring,
		Groups: m.groups.Snapshot(), Routing: m.routing.Current(), Quarantine: m.quarantine.Snapshot(),
	})
}

func (m *machine) restore(data []byte) error {
	s := &wire.MachineSnapshot{}
	if err := proto.Unmarshal(data, s); err != nil {
		return merry.Prepend(ErrMachine, err.Error())
	}
	if s.Rules > rules {
		return merry.Prependf(ErrMachine, "snapshot by rules %d, this release knows %d", s.Rules, rules)
	}
	m.table.Restore(s.Table)
	m.fence.Restore(s.Fence)
	m.groups.Restore(s.Groups)
	m.routing.Restore(s.Routing)
	m.quarantine.Restore(s.Quarantine)
	m.formed = s.Formed
	m.ring = s.Ring
	if m.ring == nil {
		m.ring = &wire.Ring{}
	}
	return nil
}
