package freshness

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const maxAge = 2 * time.Second

var start = time.Unix(1000, 0)

// clock is a clock that tests set.
type clock struct {
	mu sync.Mutex
	t  time.Time
}

func (c *clock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.t
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.t = c.t.Add(d)
}

func TestConfirmationIsReusedWithinItsAge(t *testing.T) {
	clk, asked := &clock{t: start}, 0
	c := NewConfirmer(maxAge, clk.now, func(context.Context) (time.Time, error) {
		asked++
		return clk.now().Add(-300 * time.Millisecond), nil
	})
	_, ok := c.Age()
	assert.Assert(t, !ok)
	for range 3 {
		assert.Assert(t, c.Confirm(t.Context()))
	}
	assert.Equal(t, asked, 1)
	clk.advance(1700 * time.Millisecond)
	assert.Assert(t, c.Confirm(t.Context()))
	assert.Equal(t, asked, 1)
	clk.advance(time.Millisecond)
	assert.Assert(t, c.Confirm(t.Context()))
	assert.Equal(t, asked, 2)
	age, ok := c.Age()
	assert.Assert(t, ok)
	assert.Equal(t, age, 300*time.Millisecond)
}

// Guards against a flood of requests that can't be allowed becoming a flood of questions to replicas
// which can't answer.
func TestFailedConfirmationIsNotRepeatedAtOnce(t *testing.T) {
	clk, asked := &clock{t: start}, 0
	c := NewConfirmer(maxAge, clk.now, func(context.Context) (time.Time, error) {
		asked++
		return time.Time{}, errors.New("no leader")
	})
	for range 1000 {
		assert.Assert(t, !c.Confirm(t.Context()))
		clk.advance(time.Millisecond)
	}
	assert.Equal(t, asked, 10)
}

// Guards against an answer that is so old when it arrives that it confirms nothing any more.
func TestLateConfirmationIsNotUsed(t *testing.T) {
	clk := &clock{t: start}
	c := NewConfirmer(maxAge, clk.now, func(context.Context) (time.Time, error) {
		askedAt := clk.now()
		clk.advance(5 * time.Second)
		return askedAt, nil
	})
	assert.Assert(t, !c.Confirm(t.Context()))
}

// Guards against a request that waits for a confirmation after its caller has left.
func TestConfirmEndsWithItsCaller(t *testing.T) {
	clk, release := &clock{t: start}, make(chan struct{})
	defer close(release)
	c := NewConfirmer(maxAge, clk.now, func(context.Context) (time.Time, error) {
		<-release
		return time.Time{}, errors.New("released")
	})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, !c.Confirm(ctx))
}

// simulation is a process that follows a configuration through replicas. Versions are accepted at any
// time; replicas learn of them late and may lose their leader; answers and fetches take any time, and
// the process may be suspended or cut off in between.
type simulation struct {
	clk *clock
	// acceptedAt has the time at which each version was accepted; version 1 is at index 0.
	acceptedAt []time.Time
	replicas   []simReplica
	held       uint64
	confirmer  *Confirmer
	t          *rapid.T
}

// simReplica is what a replica has applied, and as of when that was current.
type simReplica struct {
	version     uint64
	confirmedAt time.Time
}

// catchUp brings a replica's state to that of a moment in the past.
func (s *simulation) catchUp(i int, lag time.Duration) {
	at := s.clk.now().Add(-lag)
	r := &s.replicas[i]
	if at.Before(r.confirmedAt) {
		return
	}
	r.confirmedAt = at
	for v, accepted := range s.acceptedAt {
		if !accepted.After(at) {
			r.version = max(r.version, uint64(v+1))
		}
	}
}

// ask is what a process does to get a confirmation; each step takes a time.
func (s *simulation) ask(context.Context) (time.Time, error) {
	r := &s.replicas[rapid.IntRange(0, len(s.replicas)-1).Draw(s.t, "replica")]
	askedAt := s.clk.now()
	s.pass("request")
	version, age := r.version, s.clk.now().Sub(r.confirmedAt)
	s.pass("reply")
	if version > s.held && rapid.Bool().Draw(s.t, "fetched") {
		s.held = r.version
		s.pass("fetch")
	}
	if s.held < version {
		return time.Time{}, errors.New("not fetched")
	}
	return askedAt.Add(-age), nil
}

// pass lets a time pass, in which versions may be accepted and replicas may learn of them.
func (s *simulation) pass(label string) {
	for range rapid.IntRange(0, 3).Draw(s.t, label) {
		s.clk.advance(time.Duration(rapid.IntRange(0, 1500).Draw(s.t, "ms")) * time.Millisecond)
		if rapid.Bool().Draw(s.t, "accept") {
			s.acceptedAt = append(s.acceptedAt, s.clk.now())
		}
		if rapid.Bool().Draw(s.t, "learn") {
			s.catchUp(rapid.IntRange(0, len(s.replicas)-1).Draw(s.t, "learner"), time.Duration(rapid.IntRange(0, 2000).Draw(s.t, "lag"))*time.Millisecond)
		}
	}
}

// Guards against a refusal by a configuration that was replaced longer ago than the bound, whatever is lost,
// late or suspended.
func TestNoRefusalByAStateOlderThanTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{clk: &clock{t: start}, replicas: make([]simReplica, 3), t: t, acceptedAt: []time.Time{start}}
		for i := range s.replicas {
			s.catchUp(i, 0)
		}
		s.confirmer = NewConfirmer(maxAge, s.clk.now, s.ask)
		for range rapid.IntRange(1, 30).Draw(t, "requests") {
			s.pass("between")
			sentAt, heldBefore := s.clk.now(), s.held
			if !s.confirmer.Confirm(context.Background()) || s.held != heldBefore {
				continue
			}
			if next := int(s.held); next < len(s.acceptedAt) && sentAt.Sub(s.acceptedAt[next]) > maxAge {
				t.Fatalf("refused by version %d, %s after version %d was accepted", s.held, sentAt.Sub(s.acceptedAt[next]), next+1)
			}
		}
	})
}

// Guards against confirmations that never come though a replica can give them.
func TestCurrentReplicaAlwaysConfirms(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clk := &clock{t: start}
		c := NewConfirmer(maxAge, clk.now, func(context.Context) (time.Time, error) {
			return clk.now().Add(-time.Duration(rapid.IntRange(0, 1000).Draw(t, "age")) * time.Millisecond), nil
		})
		for range 50 {
			clk.advance(time.Duration(rapid.IntRange(int(askInterval.Milliseconds()), 5000).Draw(t, "gap")) * time.Millisecond)
			assert.Assert(t, c.Confirm(context.Background()))
		}
	})
}
