package agent

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/admit"
	"github.com/snipereach/snipereach/wire"
)

// A lagging control replica replies with an older pool row, which must not be applied.
func TestQueueConfigIgnoresOlderRevisions(t *testing.T) {
	s := currentQueueConfig{config: initialQueueConfig(DefaultSettings())}
	var last admit.Settings
	configure := func(c admit.Settings) { last = c }
	follow := func(revision uint64, slots uint32) bool {
		_, changed := s.apply(&wire.PoolSettings{Pool: "lm", Revision: revision, Slots: slots, MaxQueue: 5, UrgentPercent: 10}, configure)
		return changed
	}
	assert.Assert(t, follow(7, 20))
	assert.DeepEqual(t, last, admit.Settings{Slots: 20, Reserved: 2, MaxQueue: 5})
	assert.Assert(t, !follow(4, 8), "an older row")
	assert.Assert(t, !follow(7, 20), "the same row")
	assert.Assert(t, !follow(9, 0), "a row without slots")
	assert.Equal(t, last.Slots, 20)
}
