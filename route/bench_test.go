package route

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var poolSizes = []int{19, 64, 500, 5500}

func makeBalancer(name string, ups []Upstream) Balancer {
	b, err := New(name, EntryInfo{ID: "entry-1", FailureDomain: "hall-a", Seed: 1})
	if err != nil {
		panic(err)
	}
	b.SetUpstreams(testStart, ups)
	for i, u := range ups {
		b.ApplyLoadReport(testStart, u.ID, 1, testLoad(1, i%8))
	}
	return b
}

func testPrompts(n, blocks int) [][]uint64 {
	list := make([][]uint64, n)
	for i := range list {
		for k := range blocks {
			list[i] = append(list[i], uint64(i*1000+k))
		}
	}
	return list
}

// pickAndFinish picks an upstream and ends the attempt.
func pickAndFinish(b Balancer, now time.Time, r *Request, seq *uint64) {
	c, ok := b.Pick(now, r)
	if !ok {
		panic("no upstream")
	}
	*seq++
	b.Done(now, c.Upstream, r, success(nil))
}

// BenchmarkPick measures Pick and Done by balancer and pool size.
func BenchmarkPick(b *testing.B) {
	for _, name := range []string{"round-robin", "least-loaded", "prefix"} {
		for _, size := range poolSizes {
			b.Run(fmt.Sprintf("%s/%d", name, size), func(b *testing.B) {
				bal := makeBalancer(name, testUpstreams(size))
				reqs := testPrompts(500, 24)
				var seq uint64
				b.ReportAllocs()
				for i := range b.N {
					r := Request{Tokens: 1000, Prefix: reqs[i%len(reqs)]}
					pickAndFinish(bal, testStart.Add(time.Duration(i)*time.Millisecond), &r, &seq)
				}
			})
		}
	}
}

// BenchmarkUpdate measures an update of the candidates by pool size.
func BenchmarkUpdate(b *testing.B) {
	for _, size := range poolSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			ups := testUpstreams(size)
			bal := makeBalancer("least-loaded", ups)
			b.ReportAllocs()
			for range b.N {
				bal.SetUpstreams(testStart, ups)
			}
		})
	}
}

// BenchmarkCacheEventGap measures a gap in an upstream's cache events with a full index.
func BenchmarkCacheEventGap(b *testing.B) {
	bal := NewPrefixAffinity(DefaultPrefixSettings())
	bal.SetUpstreams(testStart, testUpstreams(19))
	for i := range bal.settings.MaxBlocks {
		bal.index.add(uint64(i), 1<<(i%19)|1<<((i+1)%19))
	}
	seq := uint64(1)
	for range b.N {
		seq += 2
		bal.ApplyCacheEvents(testStart, "up-3", 1, cacheEvents(seq, seq))
	}
}

// Pick and Done run for every request and must not produce garbage. The Request is
// allocated by the caller.
func TestPickDoesNotAllocate(t *testing.T) {
	for _, name := range []string{"round-robin", "least-loaded", "prefix"} {
		b := makeBalancer(name, testUpstreams(19))
		r := &Request{Tokens: 1000, Prefix: testPrompts(1, 24)[0], Exclude: map[string]bool{}}
		var seq uint64
		now := testStart
		run := func() {
			now = now.Add(20 * time.Millisecond)
			pickAndFinish(b, now, r, &seq)
		}
		for range 4 * maxChanges * 19 {
			run()
		}
		assert.Equal(t, testing.AllocsPerRun(1000, run), 0.0, name)
	}
}
