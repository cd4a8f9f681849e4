package gateway

import (
	"context"
	"sync"
	"time"
)

// fetchHeadStart is how long a watch waits for another one that fetches the same version or a
// later one. It is longer than a normal fetch, and bounds the delay by an unresponsive replica.
const fetchHeadStart = 200 * time.Millisecond

// fetchGroup keeps the watches of several replicas from fetching the same version each, as all of
// them report a new version at nearly the same time.
type fetchGroup struct {
	mu sync.Mutex
	// version is being fetched until done is closed; done is nil if there is no fetch.
	version uint64
	done    chan struct{}
}

func newFetchGroup() *fetchGroup { return &fetchGroup{} }

// begin waits, for fetchHeadStart at most, while another watch fetches the same version or a
// later one, and then registers the caller's own fetch. The caller must call the returned
// function when its fetch has ended.
func (f *fetchGroup) begin(ctx context.Context, version uint64) (done func()) {
	headStart := time.After(fetchHeadStart)
	for {
		f.mu.Lock()
		other := f.done
		if other == nil || f.version < version {
			return f.start(version)
		}
		f.mu.Unlock()
		select {
		case <-other:
		case <-headStart:
			f.mu.Lock()
			return f.start(version)
		case <-ctx.Done():
			return func() {}
		}
	}
}

// start registers a fetch. It unlocks f.mu, which the caller has locked.
func (f *fetchGroup) start(version uint64) (done func()) {
	defer f.mu.Unlock()
	ended := make(chan struct{})
	f.version, f.done = version, ended
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.done == ended {
			f.done = nil
		}
		close(ended)
	}
}
