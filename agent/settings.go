package agent

import (
	"time"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/transport"
)

// Settings of an agent, as its TOML file gives them.
type Settings struct {
	// ID names the upstream; one agent stands beside each.
	ID            string `toml:"id"`
	FailureDomain string `toml:"failure_domain"`
	// Listen is the drpc address, IP:port; port 0 takes a free one.
	Listen string `toml:"listen"`
	// Advertise is the drpc address that entries use; Listen if empty.
	Advertise     string                `toml:"advertise"`
	ClusterSecret string                `toml:"cluster_secret"`
	TLS           transport.TLSSettings `toml:"tls"`
	// Pools that the upstream serves.
	Pools []string `toml:"pools"`
	// Kind of the upstream: engine or plain.
	Kind     string         `toml:"kind"`
	Upstream map[string]any `toml:"upstream"`
	// AnnounceTo lists drpc addresses of control replicas.
	AnnounceTo       []string        `toml:"announce_to"`
	AnnounceInterval kernel.Duration `toml:"announce_interval"`
	Lease            kernel.Duration `toml:"lease"`
	// Slots, MaxQueue and UrgentPercent hold until a pool row says otherwise.
	Slots         int   `toml:"slots"`
	MaxQueue      int   `toml:"max_queue"`
	UrgentPercent int   `toml:"urgent_percent"`
	MaxBody       int64 `toml:"max_body_bytes"`
	// StopLimit bounds a planned stop.
	StopLimit kernel.Duration `toml:"stop_limit"`
	// LeaveMargin is how long a planned stop goes on refusing work at least. Entries
	// know within two seconds that an upstream leaves (docs/design/directory.md).
	LeaveMargin kernel.Duration `toml:"leave_margin"`
	// Group and Rank, for engines of an expert-parallel group.
	Group string `toml:"group"`
	Rank  uint32 `toml:"rank"`
	// Operators is the HTTP address of metrics and the state dump; empty is off.
	Operators string `toml:"operators_listen"`
	// Dial opens connections to other processes if set: who embeds an agent may
	// want a network of its own.
	Dial transport.DialFunc `toml:"-"`
	// Now is the clock, time.Now by default: who embeds an agent may want to hold
	// its time, as that of a host that is frozen.
	Now func() time.Time `toml:"-"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() *Settings {
	return &Settings{
		Now:              time.Now,
		Listen:           "127.0.0.1:0",
		Kind:             "engine",
		AnnounceInterval: kernel.Duration(500 * time.Millisecond),
		Lease:            kernel.Duration(3 * time.Second),
		Slots:            8,
		MaxQueue:         64,
		UrgentPercent:    10,
		MaxBody:          4 << 20,
		StopLimit:        kernel.Duration(5 * time.Minute),
		LeaveMargin:      kernel.Duration(2 * time.Second),
	}
}

// Check names the first key that is wrong.
func (s *Settings) Check() error {
	bad := kernel.BadKey
	switch {
	case s.ID == "":
		return bad("id", "must not be empty")
	case s.FailureDomain == "":
		return bad("failure_domain", "must not be empty")
	case len(s.Pools) == 0:
		return bad("pools", "must name at least one pool")
	case len(s.AnnounceTo) == 0:
		return bad("announce_to", "must name at least one control replica")
	case s.Slots < 1:
		return bad("slots", "must be at least 1")
	case s.UrgentPercent < 0 || s.UrgentPercent > 90:
		return bad("urgent_percent", "must be from 0 to 90")
	case s.LeaveMargin < 0:
		return bad("leave_margin", "must not be negative")
	case s.Lease < 2*s.AnnounceInterval:
		return bad("lease", "must be at least twice announce_interval")
	}
	return kernel.CheckAddress("listen or announce_to", append([]string{s.Listen}, s.AnnounceTo...)...)
}
