package kernel

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A slow subscriber must not block Notify and gets one notification for several changes;
// a cancelled one gets none.
func TestWatchersMergeSeveralChanges(t *testing.T) {
	var w Watchers
	w.Notify()
	first, cancelFirst := w.Subscribe()
	second, cancelSecond := w.Subscribe()
	defer cancelSecond()
	assert.Equal(t, w.Len(), 2)
	w.Notify()
	w.Notify()
	assert.Equal(t, len(first), 1)
	<-first
	cancelFirst()
	w.Notify()
	assert.Equal(t, len(first), 0)
	assert.Equal(t, len(second), 1)
	assert.Equal(t, w.Len(), 1)
}
