package control

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

// A command of a newer release must cause an error that names the entry and the reason;
// skipping it would let the replica's state diverge.
func TestUnknownCommandsAreErrors(t *testing.T) {
	known, err := encode(&wire.Command{Command: &wire.Command_Formed{Formed: &wire.Formed{}}})
	assert.NilError(t, err)
	m := newMachine()
	_, err = m.apply(7, known)
	assert.NilError(t, err)
	assert.Assert(t, m.formed)

	newerVersion := append(known[:len(known):len(known)], 6<<3, commandVersion+1)
	newKind := []byte{15<<3 | 2, 0}
	for message, data := range map[string][]byte{
		fmt.Sprintf("command version %d, this release supports up to %d", commandVersion+1, commandVersion): newerVersion,
		"unknown kind of command": newKind,
		"entry 8":                 {0xff},
	} {
		_, err := m.apply(8, data)
		assert.ErrorIs(t, err, ErrUnsupportedCommand)
		assert.ErrorContains(t, err, message)
	}

	snap, err := m.snapshot()
	assert.NilError(t, err)
	assert.NilError(t, newMachine().restore(snap))
	assert.ErrorIs(t, newMachine().restore(append(snap, 15<<3, commandVersion+1)), ErrSnapshot)
}

// A large routing configuration is compressed on the log and applied to the same state. A
// damaged compressed command is an error.
func TestLargeCommandIsCompressedOnTheLog(t *testing.T) {
	c := &wire.RoutingConfig{Version: 7}
	for i := range 400 {
		c.Routes = append(c.Routes, &wire.Route{
			Name: fmt.Sprint("route-", i), Host: "clock.example", PathPrefix: fmt.Sprintf("/route-%d/", i), TimeoutMs: 8000,
			Split: []*wire.WeightedService{{Service: "clock-core", Weight: 1}},
		})
	}
	var err error
	c.Source, err = protojson.Marshal(c)
	assert.NilError(t, err)
	plain, err := proto.Marshal(&wire.Command{Command: &wire.Command_Routing{Routing: c}})
	assert.NilError(t, err)
	data, err := encode(&wire.Command{Command: &wire.Command_Routing{Routing: c}})
	assert.NilError(t, err)
	assert.Assert(t, len(data) < len(plain)/5, "%d of %d bytes", len(data), len(plain))

	m := newMachine()
	res, err := m.apply(1, data)
	assert.NilError(t, err)
	assert.Equal(t, res, routingResult{accepted: true, version: 7})
	assert.Assert(t, proto.Equal(m.routing.Current(), c))

	outer := &wire.Command{}
	assert.NilError(t, proto.Unmarshal(data, outer))
	assert.Equal(t, outer.Rules, uint32(deflatedCommandVersion))
	outer.Command = &wire.Command_Deflated{Deflated: data[:len(data)/2]}
	damaged, err := proto.Marshal(outer)
	assert.NilError(t, err)
	_, err = m.apply(2, damaged)
	assert.ErrorIs(t, err, ErrUnsupportedCommand)
}
