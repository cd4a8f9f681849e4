package quarantine

import (
	"encoding/hex"

	"github.com/snipereach/snipereach/wire"
)

// SuspicionView is a suspected request as operators see it.
type SuspicionView struct {
	// Key identifies the request by its content, as in log lines.
	Key   string `json:"key"`
	Team  string `json:"team,omitempty"`
	Route string `json:"route"`
	// Part is the part of prompts that is suspected, empty if one whole request is.
	Part string `json:"part,omitempty"`
	// Upstreams are the IDs of the upstreams that crashed while running it.
	Upstreams []string `json:"upstreams"`
	// AgeMS is the time since the last of these crashes.
	AgeMS int64 `json:"age_ms"`
	// Quarantined reports whether it is in quarantine; LeftMS is the remaining time of that.
	Quarantined bool   `json:"quarantined"`
	LeftMS      uint32 `json:"left_ms,omitempty"`
	// Terms is how many times it was put in quarantine.
	Terms uint32 `json:"terms,omitempty"`
}

// SuspicionViews returns suspicions as operators see them.
func SuspicionViews(list []*wire.Suspicion) []SuspicionView {
	shown := []SuspicionView{}
	for _, m := range list {
		shown = append(shown, SuspicionView{
			Key: hex.EncodeToString(m.Key), Team: m.Team, Route: m.Route, Part: m.Part, Upstreams: CrashedUpstreams(m), AgeMS: LastCrashAge(m).Milliseconds(),
			Quarantined: m.QuarantineMs > 0, LeftMS: m.QuarantineMs, Terms: m.Terms,
		})
	}
	return shown
}
