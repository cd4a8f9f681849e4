package control

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipereach/snipereach/wire"
)

// longLog returns a log of configurations, each with a route more, as changes in quick succession leave it.
func longLog(t testing.TB, changes int) (log []*wire.LogEntry) {
	c := &wire.RoutingConfig{}
	for n := range changes {
		c.Version = uint64(n + 1)
		c.Routes = append(c.Routes, &wire.Route{
			Name: fmt.Sprint("route-", n), Host: "h.example", PathPrefix: fmt.Sprintf("/route-%d/", n), TimeoutMs: 5000,
			Split: []*wire.WeightedService{{Service: "clock", Weight: 1}},
		})
		c.Source = fmt.Appendf(c.Source, `{"name":"route-%d","host":"h.example","pathPrefix":"/route-%d/","kind":"safe","timeoutMs":5000,"targetLatencyMs":100,"service":"clock","maxAttempts":2}`, n, n)
		data, err := encode(&wire.Command{Command: &wire.Command_Routing{Routing: c}})
		assert.NilError(t, err)
		log = append(log, &wire.LogEntry{Index: uint64(n + 1), Term: 1, Type: wire.EntryType_ENTRY_TYPE_COMMAND, Data: data})
	}
	return log
}

// BenchmarkApplyLongLog applies at once what a replica that starts finds committed in its log.
func BenchmarkApplyLongLog(b *testing.B) {
	log := longLog(b, 640)
	for b.Loop() {
		m, batch := newMachine(), newRoutingBatch(log)
		for _, e := range log {
			_, err := m.applyInBatch(e, batch)
			assert.NilError(b, err)
		}
	}
}

// Guards against replicas that take seconds to read a log of configurations that are all superseded but one,
// so that a cluster whose replicas were all lost has no leader meanwhile.
func TestSupersededConfigurationsAreNotDecoded(t *testing.T) {
	log := longLog(t, 60)
	decodable := log[len(log)-1]
	compressed := 0
	for _, e := range log[:len(log)-1] {
		c := &wire.Command{}
		assert.NilError(t, proto.Unmarshal(e.Data, c))
		if c.GetDeflated() == nil {
			continue
		}
		compressed++
		c.Command = &wire.Command_Deflated{Deflated: []byte("can't be decoded")}
		var err error
		e.Data, err = proto.Marshal(c)
		assert.NilError(t, err)
	}
	assert.Assert(t, compressed > 30, "%d compressed commands", compressed)
	m, batch := newMachine(), newRoutingBatch(log)
	for _, e := range log {
		_, err := m.applyInBatch(e, batch)
		assert.NilError(t, err)
	}
	assert.Equal(t, len(m.routing.Current().Routes), 60)
	// The one in force must be decodable.
	decodable.Data = log[len(log)-2].Data
	_, err := newMachine().applyInBatch(decodable, newRoutingBatch(log[len(log)-1:]))
	assert.ErrorIs(t, err, ErrUnsupportedCommand)
}

// For any order of versions and any batches, applying entries together must give the same results and the same
// state as applying each by itself.
func TestBatchesGiveTheSameState(t *testing.T) {
	byVersion := longLog(t, 40)[28:]
	rapid.Check(t, func(t *rapid.T) {
		alone, together := newMachine(), newMachine()
		index := uint64(0)
		for range rapid.IntRange(1, 4).Draw(t, "batches") {
			var entries []*wire.LogEntry
			for range rapid.IntRange(0, 6).Draw(t, "entries") {
				index++
				source := rapid.SampledFrom(byVersion).Draw(t, "version")
				entries = append(entries, &wire.LogEntry{Index: index, Type: source.Type, Data: source.Data})
			}
			batch := newRoutingBatch(entries)
			for _, e := range entries {
				want, err := alone.apply(e.Index, e.Data)
				assert.NilError(t, err)
				got, err := together.applyInBatch(e, batch)
				assert.NilError(t, err)
				assert.Equal(t, got, want)
			}
			assert.Assert(t, proto.Equal(together.routing.Current(), alone.routing.Current()))
		}
	})
}
