package quarantine

import (
	"encoding/hex"

	"github.com/snipereach/snipereach/wire"
)

// Shown is a request under which upstreams ended, as operators see it.
type Shown struct {
	// Key names the request by its content, as log lines do.
	Key   string `json:"key"`
	Team  string `json:"team,omitempty"`
	Route string `json:"route"`
	// Upstreams ended while they ran it.
	Upstreams []string `json:"upstreams"`
	// AgeMS is the time since the last of these ends.
	AgeMS int64 `json:"age_ms"`
	// Quarantined says that it is sent to no upstream, for LeftMS yet.
	Quarantined bool   `json:"quarantined"`
	LeftMS      uint32 `json:"left_ms,omitempty"`
	// Terms is how often it was put in quarantine.
	Terms uint32 `json:"terms,omitempty"`
}

// Show returns what messages tell as operators see it.
func Show(list []*wire.Suspicion) []Shown {
	shown := []Shown{}
	for _, m := range list {
		shown = append(shown, Shown{
			Key: hex.EncodeToString(m.Key), Team: m.Team, Route: m.Route, Upstreams: Upstreams(m), AgeMS: Age(m).Milliseconds(),
			Quarantined: m.QuarantineMs > 0, LeftMS: m.QuarantineMs, Terms: m.Terms,
		})
	}
	return shown
}
