package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// listTimeout bounds one request for the list of entries.
	listTimeout = 2 * time.Second
	// maxListBytes bounds the size of the list.
	maxListBytes = 1 << 20
	// fetchRetryDelay is the delay before the next fetch after a failed one.
	fetchRetryDelay = 200 * time.Millisecond
)

// entries caches the list of entries for the time that the system allows
// (keep_seconds).
type entries struct {
	client *http.Client
	seeds  []string
	allow  func(address string) error

	mu         sync.Mutex
	list       []string
	freshUntil time.Time
	next       int
	fetches    int
	fetching   bool
}

type entryList struct {
	Entries []struct {
		Address string `json:"address"`
	} `json:"entries"`
	KeepSeconds int `json:"keep_seconds"`
}

// pick returns the next entry in round-robin order, other than avoid if there is
// another one. It refreshes an expired list first.
func (e *entries) pick(ctx context.Context, avoid string) (string, error) {
	var err error
	if e.claimFetch() {
		err = e.fetch(ctx)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.list) == 0 {
		return "", merry.Prependf(ErrNoEntries, "%v", err)
	}
	for range e.list {
		e.next++
		if a := e.list[e.next%len(e.list)]; a != avoid {
			return a, nil
		}
	}
	return e.list[0], nil
}

// claimFetch reports whether the caller must fetch the list because it has expired.
// While one caller fetches it, the others use the old list if there is one.
func (e *entries) claimFetch() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.freshUntil) || e.fetching && len(e.list) > 0 {
		return false
	}
	e.fetching = true
	return true
}

// fetch refreshes the list from the first entry that returns it, trying the known
// entries and then those of the settings.
func (e *entries) fetch(ctx context.Context) error {
	e.mu.Lock()
	candidates := append(append([]string(nil), e.list...), e.seeds...)
	e.mu.Unlock()
	var last error
	for _, a := range candidates {
		l, err := e.fetchFrom(ctx, a)
		if err == nil {
			e.update(l)
			return nil
		}
		last = err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fetching = false
	// Keep the old list and fetch again after fetchRetryDelay.
	e.freshUntil = time.Now().Add(fetchRetryDelay)
	return merry.Prependf(ErrNoEntries, "%v", last)
}

func (e *entries) update(l *entryList) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fetching = false
	e.fetches++
	e.freshUntil = time.Now().Add(time.Duration(l.KeepSeconds) * time.Second)
	e.list = e.list[:0]
	for _, x := range l.Entries {
		e.list = append(e.list, x.Address)
	}
}

func (e *entries) fetchFrom(ctx context.Context, address string) (*entryList, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/entries", nil)
	if err != nil {
		return nil, err
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var l entryList
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&l); err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK || len(l.Entries) == 0 {
		return nil, fmt.Errorf("%s: status %d, %d entries", address, resp.StatusCode, len(l.Entries))
	}
	for _, x := range l.Entries {
		// The list may name addresses that are not in the settings.
		if err := e.allow(x.Address); err != nil {
			return nil, err
		}
	}
	return &l, nil
}
