package quarantine

import (
	"fmt"
	"strings"
	"testing"

	"github.com/go-kit/log"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

type fixedRequest Request

func (r *fixedRequest) Identity() *Request { return (*Request)(r) }

// BenchmarkRequestGuard measures the overhead per request while no request is suspected, while others are,
// and while one with the same hint is.
func BenchmarkRequestGuard(b *testing.B) {
	for _, size := range []int{1 << 10, 4 << 20} {
		r := &fixedRequest{Team: "a", Method: "POST", Host: "h", URI: "/x", Body: []byte(strings.Repeat("x", size))}
		other, alike := subject("b", "other"), RequestInfo{Key: Key{1}, Hint: (*Request)(r).Hint()}
		for _, c := range []struct {
			name string
			held []RequestInfo
		}{{"nothing", nil}, {"others", []RequestInfo{other}}, {"alike", []RequestInfo{alike}}} {
			b.Run(c.name+"/"+[]string{"1kB", "4MB"}[min(size>>20, 1)], func(b *testing.B) {
				n := NewNode("e", log.NewNopLogger(), kernel.BootClock(), nil)
				for _, s := range c.held {
					n.RecordCrash(Crash{RequestInfo: s, Upstream: "up-1"})
				}
				b.ReportAllocs()
				for b.Loop() {
					var t RequestGuard
					t.Init(n, r)
					t.Verdict()
					t.Begin()
					t.RecordAnswer("id")
					t.Done()
				}
			})
		}
	}
}

// BenchmarkMergeMassCrash measures how long a replica takes to merge all requests that ran at a
// group that is lost, with and without requests in quarantine. Heartbeats wait meanwhile.
func BenchmarkMergeMassCrash(b *testing.B) {
	from := NewTable(DefaultSettings())
	var list []*wire.Suspicion
	for i := range 1920 {
		s := subject(fmt.Sprint("team-", i%24), fmt.Sprint(i))
		from.RecordCrash(start, s, crashedRun(fmt.Sprint("up-", i/10), start))
		list = append(list, from.toSuspicion(start, from.records[s.Key]))
	}
	for _, quarantined := range []int{0, 64} {
		b.Run(fmt.Sprint(quarantined), func(b *testing.B) {
			for b.Loop() {
				tb := NewTable(DefaultSettings())
				for i := range quarantined {
					crashThree(tb, subject("bad", fmt.Sprint(i)), start)
				}
				for _, m := range list {
					tb.Merge(start, m)
				}
			}
		})
	}
}
