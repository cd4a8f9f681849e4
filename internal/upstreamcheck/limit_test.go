package upstreamcheck

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// arrivals returns n requests of a gateway, evenly spread over a second from a time on.
func arrivals(gateway string, from float64, n int) (list []Arrival) {
	for i := range n {
		list = append(list, Arrival{At: at(from + float64(i)/float64(n)), Gateway: gateway})
	}
	return list
}

// Guards against a check that lets the failure pass that it was written for, or that counts what
// the rule excuses.
func TestLimitCheck(t *testing.T) {
	limit := func() *Limit {
		return &Limit{
			Named: []NamedLimit{{From: at(0), PerS: 1.2}}, ContactWindow: 3 * time.Second,
			Told: map[string]time.Time{"a": at(0.1), "b": at(9.8)},
		}
	}
	assert.Equal(t, Allowed(1.2), 12)
	assert.NilError(t, limit().Check(arrivals("a", 5, 12)))
	assert.ErrorContains(t, limit().Check(arrivals("a", 5, 13)), "13 requests in the 4s")
	assert.NilError(t, limit().Check(append(arrivals("a", 5, 12), arrivals("a", 9.5, 1)...)))
	assert.ErrorContains(t, limit().Check(append(arrivals("a", 5.5, 12), arrivals("a", 9, 1)...)), "allowed 12")

	assert.NilError(t, limit().Check(arrivals("a", 1.9, 13)), "before the rule holds")
	assert.NilError(t, limit().Check(append(arrivals("a", 9, 12), arrivals("b", 10, 1)...)), "b has just been told")
	assert.NilError(t, limit().Check(arrivals("c", 5, 100)), "c has not been told")

	excused := limit()
	excused.Excused = func(gateway string, when time.Time) bool { return gateway == "a" && when.After(at(5)) }
	assert.NilError(t, excused.Check(arrivals("a", 5, 13)))

	changing := limit()
	changing.Named = append(changing.Named, NamedLimit{From: at(8), PerS: 3}, NamedLimit{From: at(14), PerS: -1}, NamedLimit{From: at(20), PerS: 1})
	assert.NilError(t, changing.Check(arrivals("a", 9, 23)))
	assert.ErrorContains(t, changing.Check(arrivals("a", 9, 24)), "allowed 23")
	assert.NilError(t, changing.Check(arrivals("a", 15, 100)), "no limit is in force")
	assert.ErrorContains(t, changing.Check(arrivals("a", 25, 12)), "allowed 11")
}
