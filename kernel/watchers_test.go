package kernel

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A watcher that is slow is woken once for several changes, and holds nobody up; one that has left
// is woken no more.
func TestWatchersAreWokenOnceForSeveralChanges(t *testing.T) {
	var w Watchers
	w.Wake()
	first, cancelFirst := w.Subscribe()
	second, cancelSecond := w.Subscribe()
	defer cancelSecond()
	assert.Equal(t, w.Len(), 2)
	w.Wake()
	w.Wake()
	assert.Equal(t, len(first), 1)
	<-first
	cancelFirst()
	w.Wake()
	assert.Equal(t, len(first), 0)
	assert.Equal(t, len(second), 1)
	assert.Equal(t, w.Len(), 1)
}
