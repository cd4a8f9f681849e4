package leader

import (
	"cmp"
	"time"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/lockstep"
)

// Settings is the [control.lockstep] section.
type Settings struct {
	// Dialect names the plug-in that defines the names that ranks use.
	Dialect string `toml:"dialect"`
	// SidecarPort is the port of the sidecar of each rank; 0 if there are no sidecars.
	SidecarPort int `toml:"sidecar_port"`
	// ReadPeriod is the minimum time between two readings of one rank's counters. The time is
	// longer if there are many ranks; see maxReadingsPerSecond.
	ReadPeriod kernel.Duration `toml:"read_period"`
}

const (
	// defaultReadPeriod is also the length of the windows of the demand estimate, so that each
	// window has a reading of every rank. A shift of demand is planned for after two whole
	// windows, so the period bounds how soon a plan can follow it.
	defaultReadPeriod = 75 * time.Millisecond
	// maxReadingsPerSecond bounds the readings of all ranks together, to limit the leader's
	// CPU time: so many readings of 72 ranks, one by one, take 0.05 cores.
	maxReadingsPerSecond = 480
	// readingsPerRelayCall is the number of readings that one call to a relay counts as. The
	// reply has the states of several ranks and the sum of their counters.
	readingsPerRelayCall = 5
)

// SetDefaults replaces zero values by their defaults.
func (s *Settings) SetDefaults() {
	s.ReadPeriod = cmp.Or(s.ReadPeriod, kernel.Duration(defaultReadPeriod))
}

// readPeriodFor returns the time between two readings of one rank if there are groups of
// these sizes, in ranks.
func (s *Settings) readPeriodFor(groups []int) time.Duration {
	readings := 0
	for _, ranks := range groups {
		if calls, relayed := lockstep.EstimateCalls(ranks); relayed {
			readings += readingsPerRelayCall * calls
		} else {
			readings += calls
		}
	}
	return max(s.ReadPeriod.D(), time.Duration(readings)*time.Second/maxReadingsPerSecond)
}

// Check returns the error that bad makes of the first invalid key.
func (s *Settings) Check(bad func(key, detail string) error) error {
	switch {
	case s.Dialect == "":
		return bad("lockstep.dialect", "must not be empty")
	case s.SidecarPort < 0 || s.SidecarPort > 65535:
		return bad("lockstep.sidecar_port", "must be a port")
	case s.ReadPeriod <= 0:
		return bad("lockstep.read_period", "must be positive")
	}
	return nil
}
