package route

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var sizes = []int{19, 64, 500, 5500}

func makeBalancer(name string, ups []Upstream) Balancer {
	b, err := New(name, Place{Entry: "entry-1", FailureDomain: "hall-a", Seed: 1})
	if err != nil {
		panic(err)
	}
	b.Update(start, ups)
	for i, u := range ups {
		b.Report(start, u.ID, 1, load(1, i%8))
	}
	return b
}

func prompts(n, blocks int) [][]uint64 {
	list := make([][]uint64, n)
	for i := range list {
		for k := range blocks {
			list[i] = append(list[i], uint64(i*1000+k))
		}
	}
	return list
}

// decide makes one choice and ends it.
func decide(b Balancer, now time.Time, r *Request, seq *uint64) {
	c, ok := b.Pick(now, r)
	if !ok {
		panic("no upstream")
	}
	*seq++
	b.Done(now, c.Upstream, r, whole(nil))
}

// BenchmarkDecide is a choice and its end, by size of the pool.
func BenchmarkDecide(b *testing.B) {
	for _, name := range []string{"round-robin", "least-loaded", "prefix"} {
		for _, size := range sizes {
			b.Run(fmt.Sprintf("%s/%d", name, size), func(b *testing.B) {
				bal := makeBalancer(name, upstreams(size))
				reqs := prompts(500, 24)
				var seq uint64
				b.ReportAllocs()
				for i := range b.N {
					r := Request{Tokens: 1000, Prefix: reqs[i%len(reqs)]}
					decide(bal, start.Add(time.Duration(i)*time.Millisecond), &r, &seq)
				}
			})
		}
	}
}

// BenchmarkUpdate is a change of the directory, by size of the pool.
func BenchmarkUpdate(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			ups := upstreams(size)
			bal := makeBalancer("least-loaded", ups)
			b.ReportAllocs()
			for range b.N {
				bal.Update(start, ups)
			}
		})
	}
}

// BenchmarkGap is what a gap in the events costs while the index is full.
func BenchmarkGap(b *testing.B) {
	bal := NewPrefix(DefaultPrefixSettings())
	bal.Update(start, upstreams(19))
	for i := range bal.settings.MaxBlocks {
		bal.index.add(uint64(i), 1<<(i%19)|1<<((i+1)%19))
	}
	seq := uint64(1)
	for range b.N {
		seq += 2
		bal.Cache(start, "up-3", 1, events(seq, seq))
	}
}

// A choice is made for each of 89,000 requests a second: garbage there is time
// for all. The request itself is the caller's.
func TestDecisionsDontAllocate(t *testing.T) {
	for _, name := range []string{"round-robin", "least-loaded", "prefix"} {
		b := makeBalancer(name, upstreams(19))
		r := &Request{Tokens: 1000, Prefix: prompts(1, 24)[0], Exclude: map[string]bool{}}
		var seq uint64
		now := start
		run := func() {
			now = now.Add(20 * time.Millisecond)
			decide(b, now, r, &seq)
		}
		for range 4 * maxSteps * 19 {
			run()
		}
		assert.Equal(t, testing.AllocsPerRun(1000, run), 0.0, name)
	}
}
