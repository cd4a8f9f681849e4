// Package control implements a control replica. It runs the replicated log on top of a
// write-ahead log and a transport, applies committed commands to the state machines (table,
// leases, groups, routing, quarantine) and serves entries, agents and operators.
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

// Errors of decoding replicated state.
var (
	// ErrSnapshot is returned for a snapshot that this release can't restore.
	ErrSnapshot = merry.Sentinel("snapshot of replicated state can't be read")
	// ErrUnsupportedCommand is returned for a committed command that this release can't apply.
	ErrUnsupportedCommand = merry.Sentinel("committed command is not supported by this release")
)

// commandVersion is the highest version of the command format and of the apply logic that
// this release supports. It must be incremented with each change by which the same log would
// lead to another state, e.g. a new kind of command. A release supports all earlier versions.
const commandVersion = 4

// baseCommandVersion is the version of all commands that have no version of their own. A
// command carries the lowest version that supports it, so that replicas of an older release
// keep running as long as no newer command is used.
const baseCommandVersion = 1

// requiredCommandVersion returns the lowest version that supports a command.
func requiredCommandVersion(c *wire.Command) uint32 {
	switch {
	case c.GetQuarantine() != nil:
		return quarantineCommandVersion
	case c.GetRouting() != nil:
		return routingCommandVersion
	}
	return baseCommandVersion
}

const (
	// routingCommandVersion is the version of routing configurations.
	routingCommandVersion = 2
	// deflatedCommandVersion is the version of compressed commands.
	deflatedCommandVersion = 3
	// quarantineCommandVersion is the version of quarantine commands.
	quarantineCommandVersion = 4
	// minDeflatedSize is the least size, in bytes, of a command that is compressed. A routing
	// configuration of 400 routes is 200 kB, and 15 kB compressed: on hosts of a tenth of a core,
	// sending it to four peers uncompressed took 0.1 s, in which the leader sent no heartbeats.
	minDeflatedSize = 4 << 10
	// maxInflatedSize bounds a decompressed command, in bytes. It is above twice
	// maxConfigBytes: a routing command holds the operator's document and its decoded form.
	maxInflatedSize = 64 << 20
)

// machine holds the state machines that share one log.
type machine struct {
	table      *table.Machine
	fence      *fence.Machine
	formed     bool
	ring       *wire.Ring
	groups     *rollout.Machine
	routing    routing.Machine
	quarantine quarantine.Machine
}

// quarantineResult is the result of a committed quarantine command.
type quarantineResult struct {
	quarantine.Result
	command *wire.QuarantineCommand
}

func newMachine() *machine {
	return &machine{table: table.NewMachine(), fence: fence.NewMachine(), ring: &wire.Ring{}, groups: rollout.NewMachine()}
}

// encode sets a command's version and returns its log entry, compressed if it is large.
func encode(c *wire.Command) ([]byte, error) {
	c.Rules = requiredCommandVersion(c)
	data, err := proto.Marshal(c)
	if err != nil || len(data) < minDeflatedSize {
		return data, err
	}
	packed, err := deflate.Compress(data)
	if err != nil {
		return nil, err
	}
	return proto.Marshal(&wire.Command{
		Rules: deflatedCommandVersion, Command: &wire.Command_Deflated{Deflated: packed}, RoutingVersion: c.GetRouting().GetVersion(),
	})
}

// decode returns the command of a log entry. It returns ErrUnsupportedCommand if the entry
// is malformed or needs a higher version than commandVersion.
func decode(index uint64, data []byte) (*wire.Command, error) {
	c := &wire.Command{}
	if err := proto.Unmarshal(data, c); err != nil {
		return nil, merry.Prependf(ErrUnsupportedCommand, "entry %d: %v", index, err)
	}
	if c.Rules > commandVersion {
		return nil, merry.Prependf(ErrUnsupportedCommand, "entry %d: command version %d, this release supports up to %d", index, c.Rules, commandVersion)
	}
	if c.GetDeflated() == nil {
		return c, nil
	}
	data, err := deflate.Decompress(c.GetDeflated(), maxInflatedSize)
	if err != nil {
		return nil, merry.Prependf(ErrUnsupportedCommand, "entry %d: %v", index, err)
	}
	return decode(index, data)
}

// apply applies a committed command. The result is a *wire.EditReply, a *wire.Lease, a
// rollout.Result, a routingResult, a quarantineResult or nil.
//
// It returns ErrUnsupportedCommand for a command that this release doesn't support. The
// replica must then stop until it is upgraded: skipping the command would let its state diverge
// from that of the other replicas.
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
		return routingResult{accepted: accepted, version: m.routing.Version()}, nil
	case c.GetQuarantine() != nil:
		return quarantineResult{Result: m.quarantine.Apply(c.GetQuarantine()), command: c.GetQuarantine()}, nil
	case c.GetFormed() != nil:
		m.formed = true
	case c.GetRing() != nil:
		// Successive leaders may propose the same epoch; the first to be committed wins.
		if r := c.GetRing(); r.Epoch == m.ring.Epoch+1 {
			m.ring = r
		}
	default:
		return nil, merry.Prependf(ErrUnsupportedCommand, "entry %d: unknown kind of command", index)
	}
	return nil, nil
}

func (m *machine) snapshot() ([]byte, error) {
	required := uint32(baseCommandVersion)
	if m.routing.Current() != nil {
		required = routingCommandVersion
	}
	if !m.quarantine.Empty() {
		required = quarantineCommandVersion
	}
	return proto.Marshal(&wire.MachineSnapshot{
		Rules: required, Table: m.table.Snapshot(), Fence: m.fence.Snapshot(), Formed: m.formed, Ring: m.ring,
		Groups: m.groups.Snapshot(), Routing: m.routing.Current(), Quarantine: m.quarantine.Snapshot(),
	})
}

func (m *machine) restore(data []byte) error {
	s := &wire.MachineSnapshot{}
	if err := proto.Unmarshal(data, s); err != nil {
		return merry.Prepend(ErrSnapshot, err.Error())
	}
	if s.Rules > commandVersion {
		return merry.Prependf(ErrSnapshot, "snapshot version %d, this release supports up to %d", s.Rules, commandVersion)
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
