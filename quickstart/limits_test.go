package quickstart

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/control"
	"github.com/snipereach/snipereach/fake"
	"github.com/snipereach/snipereach/wire"
)

// editRow changes columns of a table row that has version base.
func editRow(t *testing.T, s *System, id, kind, key string, base uint64, columns map[string]string) {
	t.Helper()
	client := control.NewClient(s.pool, s.controlAddrs, "operator")
	reply, err := client.Edit(context.Background(), &wire.TableEdit{EditId: id, By: "operator", Rows: []*wire.RowEdit{
		{Kind: kind, Key: key, BaseVersion: base, Columns: columns},
	}})
	assert.NilError(t, err)
	assert.Equal(t, reply.Status, wire.EditStatus_EDIT_STATUS_ACCEPTED, reply.Detail)
}

// heldEngines blocks the requests at all engines until release is closed, and counts
// them.
type heldEngines struct {
	running atomic.Int64
	release chan struct{}
}

func holdEngines(s *System) *heldEngines {
	h := &heldEngines{release: make(chan struct{})}
	for _, e := range s.Engines {
		e.SetFault(func(*http.Request) fake.Fault {
			h.running.Add(1)
			<-h.release
			return fake.FaultNone
		})
	}
	return h
}

// An agent must follow its pool's slots when they are lowered below the number of
// running requests and raised again, and every request must run and be answered
// once.
func TestPoolRowResizesAgentQueueWithoutLosingRequests(t *testing.T) {
	t.Parallel()
	s := startSystem(t, Options{Engines: 1})
	waitFor(t, func() bool { return s.Agents[0].Slots() == 8 && s.Agents[1].Slots() == 32 })
	slow := strings.Replace(modelBody, `"max_tokens":4`, `"max_tokens":60`, 1)
	got := make(chan reply, 24)
	for i := range cap(got) {
		go func() {
			got <- callEntry(s, i%3, "POST", "/v1/chat/completions", slow, map[string]string{fake.HeaderRunKey: fmt.Sprint("k", i)})
		}()
	}
	waitFor(t, func() bool { return len(s.Engines[0].Runs()) > 4 })
	editRow(t, s, "fewer", "pool", "lm", 1, map[string]string{"slots": "2", "max_queue": "64"})
	waitFor(t, func() bool { return s.Agents[0].Slots() == 2 })
	editRow(t, s, "more", "pool", "lm", 2, map[string]string{"slots": "16", "max_queue": "64"})
	waitFor(t, func() bool { return s.Agents[0].Slots() == 16 })
	for range cap(got) {
		r := <-got
		assert.NilError(t, r.err)
		assert.Equal(t, r.status, 200, r.body)
	}
	for key, n := range s.Engines[0].Runs() {
		assert.Equal(t, n, 1, key)
	}
}

// A team's concurrency limit must hold over all entries together: the requests
// above it are refused as not run. A raised limit must take effect.
func TestConcurrencyLimitHoldsAcrossEntries(t *testing.T) {
	t.Parallel()
	s := startSystem(t, Options{Rows: Rows() + "limit\tgrowers/pushpa-lm\tconcurrent=2\n"})
	round := func() (ran int) {
		var refused atomic.Int64
		held := holdEngines(s)
		got := make(chan reply, 12)
		for i := range cap(got) {
			go func() {
				r := callEntry(s, i%3, "POST", "/v1/chat/completions", modelBody, nil)
				if r.status != 200 {
					refused.Add(1)
				}
				got <- r
			}()
		}
		waitFor(t, func() bool { return held.running.Load()+refused.Load() == int64(cap(got)) })
		ran = int(held.running.Load())
		close(held.release)
		for range cap(got) {
			r := <-got
			assert.NilError(t, r.err)
			if r.status == 200 {
				continue
			}
			p := problemOf(t, r)
			assert.Equal(t, p.Reason, "concurrency-limit", r.body)
			assert.Equal(t, p.Outcome, "not-run")
		}
		return ran
	}
	waitFor(t, func() bool { return round() > 0 })
	for range 5 {
		ran := round()
		assert.Assert(t, ran <= 2, "%d requests ran at once", ran)
	}
	editRow(t, s, "raise", "limit", "growers/pushpa-lm", 1, map[string]string{"concurrent": "200"})
	waitFor(t, func() bool { return round() == 12 })
}

// A service with max_queue=0 must not queue at an entry: while the entry's only slot
// is in use, further requests are refused with the service's row.
func TestServiceRowLimitsEntryQueue(t *testing.T) {
	t.Parallel()
	rows := strings.Replace(Rows(), "idempotent=yes", "idempotent=yes\tmax_queue=0", 1)
	s := startSystem(t, Options{Rows: rows, EntrySlots: 1})
	held := holdEngines(s)
	got := make(chan reply, 6)
	for range cap(got) {
		go func() { got <- callEntry(s, 0, "POST", "/v1/chat/completions", modelBody, nil) }()
	}
	for range cap(got) - 1 {
		r := <-got
		assert.Equal(t, problemOf(t, r).Reason, "queue-full")
		assert.Assert(t, strings.Contains(r.body, `"row":"service pushpa-lm"`), r.body)
	}
	close(held.release)
	r := <-got
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, 200, r.body)
}
