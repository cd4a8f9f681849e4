package control

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

// A newer release leads and puts a command on the log that this one doesn't know. The
// replica must not pass over it and go on with another state than the others'; it
// stops with an error that names the entry and what is missing.
func TestUnknownCommandsStopTheReplica(t *testing.T) {
	later, err := encode(&wire.Command{Command: &wire.Command_Formed{Formed: &wire.Formed{}}})
	assert.NilError(t, err)
	m := newMachine()
	_, err = m.apply(7, later)
	assert.NilError(t, err)
	assert.Assert(t, m.formed)

	byNewRules := append(later[:len(later):len(later)], 6<<3, rules+1)
	newKind := []byte{15<<3 | 2, 0}
	for name, data := range map[string][]byte{
		"rules 3, this release knows 2": byNewRules,
		"no known kind":                 newKind,
		"entry 8":                       {0xff},
	} {
		_, err := m.apply(8, data)
		assert.ErrorIs(t, err, ErrCommand)
		assert.ErrorContains(t, err, name)
	}

	snap, err := m.snapshot()
	assert.NilError(t, err)
	assert.NilError(t, newMachine().restore(snap))
	assert.ErrorIs(t, newMachine().restore(append(snap, 15<<3, rules+1)), ErrMachine)
}
