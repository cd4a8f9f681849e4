package overload

import (
	"math"
	"slices"
	"time"
)

const (
	// rateWindow is the time constant over which arrivals and admissions are counted. It is short
	// against a burst of several seconds, and long against the time between two requests of one
	// priority at a gateway, of which many have a few a second.
	rateWindow = 2 * time.Second
	// reserveTime is the time for which expected requests find a slot kept free: until a survey
	// shows the slots that have become free meanwhile. Surveys come each 200 ms and are 100 ms old.
	reserveTime = 300 * time.Millisecond
	// minServedRatio is the least fraction of the requests of a priority that is admitted, relative
	// to that of all priorities, whatever more urgent ones ask for. Callers are to get at least a
	// quarter; the rest is a margin, as a gateway sees a part of them only.
	minServedRatio = 0.4
	// minArrivals is the decayed number of arrivals from which the admitted fraction of a priority
	// is known.
	minArrivals = 3.0
)

// Policy tracks the requests of one service at one gateway by priority. The zero value is one for
// a service whose requests all have the same priority.
type Policy struct {
	// priorities are those that the service's requests may have, the most urgent first.
	priorities []uint32
	traffic    map[uint32]*traffic
}

// traffic counts the requests of one priority.
type traffic struct {
	arrived, admitted decayingCount
}

// SetPriorities sets the priorities that the service's requests may have.
func (p *Policy) SetPriorities(list []uint32) {
	p.priorities = slices.Compact(slices.Sorted(slices.Values(list)))
	if p.traffic == nil {
		p.traffic = map[uint32]*traffic{}
	}
	for known := range p.traffic {
		if !slices.Contains(p.priorities, known) {
			delete(p.traffic, known)
		}
	}
}

// Enabled reports whether the service's requests have different priorities.
func (p *Policy) Enabled() bool { return len(p.priorities) > 1 }

// MostUrgent reports whether no other priority of the service is more urgent than this one.
func (p *Policy) MostUrgent(priority uint32) bool {
	return len(p.priorities) == 0 || priority <= p.priorities[0]
}

// RecordArrival counts the arrival of a request.
func (p *Policy) RecordArrival(now time.Time, priority uint32) {
	if p.Enabled() {
		p.of(priority).arrived.add(now)
	}
}

// RecordAdmission counts the admission of a request.
func (p *Policy) RecordAdmission(now time.Time, priority uint32) {
	if p.Enabled() {
		p.of(priority).admitted.add(now)
	}
}

func (p *Policy) of(priority uint32) *traffic {
	t := p.traffic[priority]
	if t == nil {
		t = &traffic{}
		p.traffic[priority] = t
	}
	return t
}

// Reserved returns how many slots requests of a priority leave free for more urgent ones: as many
// as these are expected to need within reserveTime. It is a fraction where requests are few.
func (p *Policy) Reserved(now time.Time, priority uint32) float64 {
	expected := 0.0
	for other, t := range p.traffic {
		if other < priority {
			expected += t.arrived.perSecond(now)
		}
	}
	return expected * reserveTime.Seconds()
}

// Starved reports whether requests of a priority get so little that they go before more urgent
// ones: under minServedRatio of the fraction that is admitted of all.
func (p *Policy) Starved(now time.Time, priority uint32) bool {
	t := p.traffic[priority]
	if t == nil || t.arrived.at(now) < minArrivals {
		return false
	}
	arrived, admitted := 0.0, 0.0
	for _, other := range p.traffic {
		arrived += other.arrived.at(now)
		admitted += other.admitted.at(now)
	}
	return t.admitted.at(now)*arrived < minServedRatio*admitted*t.arrived.at(now)
}

// decayingCount counts events with a weight that decays with their age.
type decayingCount struct {
	count     float64
	countedAt time.Time
}

func (c *decayingCount) add(now time.Time) {
	c.count = c.at(now) + 1
	c.countedAt = now
}

func (c *decayingCount) at(now time.Time) float64 {
	return c.count * math.Exp(-now.Sub(c.countedAt).Seconds()/rateWindow.Seconds())
}

func (c *decayingCount) perSecond(now time.Time) float64 { return c.at(now) / rateWindow.Seconds() }
