package agent

import (
	"cmp"
	"time"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/transport"
)

// Settings configures an agent; it is read from a TOML file.
type Settings struct {
	// ID identifies the upstream; each upstream has one agent.
	ID            string `toml:"id"`
	FailureDomain string `toml:"failure_domain"`
	// Listen is the drpc address as IP:port; port 0 selects a free port.
	Listen string `toml:"listen"`
	// Advertise is the drpc address that entries connect to; the listen address if empty.
	Advertise     string                `toml:"advertise"`
	ClusterSecret string                `toml:"cluster_secret"`
	TLS           transport.TLSSettings `toml:"tls"`
	// Pools lists the pools that the upstream serves.
	Pools []string `toml:"pools"`
	// Kind is the kind of the upstream: engine or plain.
	Kind     string         `toml:"kind"`
	Upstream map[string]any `toml:"upstream"`
	// AnnounceTo lists the drpc addresses of the control replicas.
	AnnounceTo       []string        `toml:"announce_to"`
	AnnounceInterval kernel.Duration `toml:"announce_interval"`
	Lease            kernel.Duration `toml:"lease"`
	// Slots, MaxQueue and UrgentPercent apply until a pool row overrides them.
	Slots         int   `toml:"slots"`
	MaxQueue      int   `toml:"max_queue"`
	UrgentPercent int   `toml:"urgent_percent"`
	MaxBody       int64 `toml:"max_body_bytes"`
	// StopLimit bounds the duration of a planned stop.
	StopLimit kernel.Duration `toml:"stop_limit"`
	// LeaveMargin is the shortest time for which a planned stop refuses new attempts.
	// Entries learn within two seconds that an upstream leaves; see
	// docs/design/directory.md.
	LeaveMargin kernel.Duration `toml:"leave_margin"`
	// Group and Rank identify the rank of an engine in an expert-parallel group; Group is
	// empty for other upstreams.
	Group string `toml:"group"`
	Rank  uint32 `toml:"rank"`
	// Operators is the HTTP address for metrics and the state dump; empty disables it.
	Operators string `toml:"operators_listen"`
	// Dial opens connections to other processes; nil uses the default dialer. Embedders
	// may supply their own network.
	Dial transport.DialFunc `toml:"-"`
	// Now is the clock; time.Now by default. Embedders may supply one that stops, to
	// simulate a frozen host.
	Now func() time.Time `toml:"-"`
	// Host is what the host gives to the process.
	Host kernel.HostSettings `toml:"host"`
}

// DefaultSettings returns the settings that apply where a file sets none.
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

// Check returns an error that names the first invalid key.
func (s *Settings) Check() error {
	bad := kernel.InvalidKey
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
	return cmp.Or(s.Host.Check(), kernel.CheckAddress("listen or announce_to", append([]string{s.Listen}, s.AnnounceTo...)...))
}
