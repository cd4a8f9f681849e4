package gateway

import (
	"context"
	"sync"
	"time"
)

// fetchHead is how long a watch leaves a version to another that fetches it: a fetch
// takes some milliseconds, and a replica that fell silent must not hold up the others.
const fetchHead = 200 * time.Millisecond

// fetches keeps the watches of several replicas from fetching one version each. All of
// them tell a new version within milliseconds; with five replicas and forty entries
// a configuration of 400 routes was sent 200 times instead of forty.
type fetches struct {
	mu sync.Mutex
	// version is being fetched until ended is closed; ended is nil if none is.
	version uint64
	ended   chan struct{}
}

func newFetches() *fetches { return &fetches{} }

// begin waits while another watch fetches a version or a higher one, for a while, and
// then notes that the caller fetches it; the function returned ends that.
func (f *fetches) begin(ctx context.Context, version uint64) (done func()) {
	patience := time.After(fetchHead)
	for {
		f.mu.Lock()
		other := f.ended
		if other == nil || f.version < version {
			return f.start(version)
		}
		f.mu.Unlock()
		select {
		case <-other:
		case <-patience:
			f.mu.Lock()
			return f.start(version)
		case <-ctx.Done():
			return func() {}
		}
	}
}

// start notes a fetch. It unlocks.
func (f *fetches) start(version uint64) (done func()) {
	defer f.mu.Unlock()
	ended := make(chan struct{})
	f.version, f.ended = version, ended
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.ended == ended {
			f.ended = nil
		}
		close(ended)
	}
}
