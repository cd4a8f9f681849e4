package entry

import (
	"github.com/rcrowley/go-metrics"

	"github.com/snipereach/snipereach/wire"
)

// registerGauges registers the gauges whose values are computed at each scrape.
func (e *Entry) registerGauges() {
	for name, value := range map[string]func() int64{
		"entry.requests":    e.requests.Load,
		"entry.waiting":     e.waiting,
		"entry.bodies":      e.requestMemory.Used,
		"entry.revision":    e.revision,
		"entry.rows.age_ms": e.rowsAgeMS,
		"entry.listed":      e.listed,
		"entry.upstreams":   e.upstreamsUp,

		"entry.claims.folder_failed": e.claimsFailed,
	} {
		metrics.NewRegisteredFunctionalGauge(name, e.metrics, value)
	}
}

func (e *Entry) waiting() int64 {
	_, waiting := e.runner.Counts()
	return int64(waiting)
}

func (e *Entry) revision() int64 { return int64(e.Revision()) }

// rowsAgeMS returns rowsAge in milliseconds, or -1 if the rows were never confirmed.
func (e *Entry) rowsAgeMS() int64 {
	age, ok := e.rowsAge(e.settings.Now())
	if !ok {
		return -1
	}
	return age.Milliseconds()
}

func (e *Entry) listed() int64 {
	if e.Ready() {
		return 1
	}
	return 0
}

func (e *Entry) upstreamsUp() int64 {
	n := int64(0)
	for _, i := range e.node.Instances(wire.Role_ROLE_UPSTREAM) {
		if i.Up() {
			n++
		}
	}
	return n
}

// claimsFailed returns 1 if the claim register has stopped granting because a record
// couldn't be made durable, else 0.
func (e *Entry) claimsFailed() int64 {
	if e.claims.WriteFailed() {
		return 1
	}
	return 0
}
