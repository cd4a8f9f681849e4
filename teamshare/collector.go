package teamshare

import (
	"maps"
	"slices"
	"sync"
	"time"
	"unique"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/wire"
)

const (
	// reportLifetime is how long a gateway's report counts: as long as three reports take, so that
	// one that is lost or late doesn't change the sums.
	reportLifetime = 3 * reportInterval
	// sumInterval is how long computed sums are used for other gateways. With 400 gateways and 256
	// teams, adding up each time would take the replica several cores.
	sumInterval = 250 * time.Millisecond
	// maxCounts bounds the counts that a replica holds, about 150 bytes each. minTeamsPerReport are
	// kept of each report even then, so that the most demanding teams stay visible.
	maxCounts         = 100_000
	minTeamsPerReport = 16
	// maxReports bounds the reports that a replica holds, of all services together.
	maxReports = 5_000
)

// ErrTooManyReports is returned for a report that a Collector has no room for.
var ErrTooManyReports = merry.Sentinel("too many demand reports")

// Collector sums up what gateways report. It is safe for concurrent use.
type Collector struct {
	now func() time.Time

	mu       sync.Mutex
	services map[string]*reportedService
	// reports and counts are the numbers of reports and of Demands held.
	reports, counts int
	forgotAt        time.Time
}

// reportedService has the reports of one service by gateway.
type reportedService struct {
	byGateway map[string]report
	// totals are the sums at summedAt; nil before the first.
	totals   *wire.DemandTotals
	summedAt time.Time
}

// report is the latest report of a gateway.
type report struct {
	at     time.Time
	spanMs uint32
	list   []Demand
}

// NewCollector returns an empty Collector.
func NewCollector(now func() time.Time) *Collector {
	return &Collector{now: now, services: map[string]*reportedService{}}
}

// Report records a report, which takes the place of the gateway's earlier one, and returns the sums of
// the service.
func (c *Collector) Report(r *wire.DemandReport) (*wire.DemandTotals, error) {
	if err := Check(r); err != nil {
		return nil, err
	}
	list := FromWire(r.Teams)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.forget(now)
	s := c.services[r.Service]
	if s == nil {
		s = &reportedService{byGateway: map[string]report{}}
	}
	before, known := s.byGateway[r.Gateway]
	if !known {
		if c.reports >= maxReports {
			return nil, ErrTooManyReports
		}
		c.reports++
	}
	c.services[r.Service] = s
	c.counts -= len(before.list)
	list = c.fit(list)
	c.counts += len(list)
	s.byGateway[r.Gateway] = report{at: now, spanMs: r.SpanMs, list: list}
	return s.sum(now, r.Service), nil
}

// fit returns Demands with as few teams as there is room for, with names that all reports share.
func (c *Collector) fit(list []Demand) []Demand {
	room := max(min(maxCounts/max(c.reports, 1), maxCounts-c.counts), 0)
	if len(list) > room {
		s := newSums()
		s.add(list)
		perTeam := max(len(list)/max(len(s.byTeam), 1), 1)
		list = s.list(max(room/perTeam, minTeamsPerReport))
	}
	for i := range list {
		list[i].Team = unique.Make(list[i].Team).Value()
		for j := range list[i].Causes {
			list[i].Causes[j].Cause = unique.Make(list[i].Causes[j].Cause).Value()
		}
	}
	return list
}

// sum returns the sums of the reports that haven't expired.
func (s *reportedService) sum(now time.Time, service string) *wire.DemandTotals {
	if s.totals != nil && now.Sub(s.summedAt) < sumInterval {
		return s.totals
	}
	totals := &wire.DemandTotals{Service: service}
	all := newSums()
	for _, r := range s.byGateway {
		age := now.Sub(r.at)
		if age >= reportLifetime {
			continue
		}
		all.add(r.list)
		totals.Gateways++
		totals.SpanMs = max(totals.SpanMs, r.spanMs)
		totals.AgeMs = max(totals.AgeMs, uint32(age.Milliseconds()))
	}
	totals.Teams = ToWire(all.list(MaxTeams))
	s.totals, s.summedAt = totals, now
	return totals
}

// List returns the sums of all services that are reported, ordered by service.
func (c *Collector) List() (list []*wire.DemandTotals) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.forgetExpired(now)
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		list = append(list, c.services[name].sum(now, name))
	}
	return list
}

// forget drops expired reports, at most once in reportInterval.
func (c *Collector) forget(now time.Time) {
	if now.Sub(c.forgotAt) >= reportInterval {
		c.forgetExpired(now)
	}
}

func (c *Collector) forgetExpired(now time.Time) {
	c.forgotAt = now
	for name, s := range c.services {
		for gateway, r := range s.byGateway {
			if now.Sub(r.at) >= reportLifetime {
				delete(s.byGateway, gateway)
				c.reports--
				c.counts -= len(r.list)
			}
		}
		if len(s.byGateway) == 0 {
			delete(c.services, name)
		}
	}
}
