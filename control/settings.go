package control

import (
	"cmp"
	"time"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/lockstep/leader"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wal"
)

// Settings are the settings of a control replica: the [control] section of the settings of an
// entry or of snipereach-control.
type Settings struct {
	// DataDir is the folder for durable state.
	DataDir string `toml:"data_dir"`
	// FS, if set, is used instead of DataDir. Programs that embed a replica may set it.
	FS wal.FS `toml:"-"`
	// Now, if set, is used instead of kernel.BootClock, e.g. to simulate a frozen host.
	Now func() time.Time `toml:"-"`
	// Members lists the drpc addresses of all control replicas, including this one. If
	// Tolerate is set, it lists those to contact first, and others may join.
	Members []string `toml:"members"`
	// FormCluster allows forming a new cluster if all members are new. It should be turned
	// off once the cluster is formed.
	FormCluster bool `toml:"form_cluster"`
	// PeerPort, if not 0, replaces the port of each address in Members. It is used if Members
	// lists other addresses of the same hosts.
	PeerPort int `toml:"peer_port"`
	// Voters is the maximum number of voters; other members are learners.
	Voters int `toml:"voters"`
	// Tolerate, if set, derives the number of voters from the losses to survive.
	Tolerate *Tolerance `toml:"tolerate"`
	// ElectionTimeout and Heartbeat are those of the replicated log.
	ElectionTimeout kernel.Duration `toml:"election_timeout"`
	Heartbeat       kernel.Duration `toml:"heartbeat"`
	// SnapshotEvery is the number of log entries between snapshots.
	SnapshotEvery int `toml:"snapshot_every"`
	// MaxBatch bounds the calls that share one disk sync; 1 disables group commit.
	MaxBatch int `toml:"max_batch"`
	// ReplaceAfter is how long a member must be silent before it counts as dead and a replica
	// with another data folder may take its name.
	ReplaceAfter kernel.Duration `toml:"replace_after"`
	// Groups configures how a leader manages the expert maps of groups.
	Groups GroupSettings `toml:"groups"`
	// Lockstep configures groups whose ranks are called directly; nil disables them.
	Lockstep *leader.Settings `toml:"lockstep"`
}

// Tolerance is the [control.tolerate] section: the simultaneous losses after which all
// accepted edits are kept and new ones are still accepted.
type Tolerance struct {
	// Hosts and Domains are the numbers of lost hosts and of lost failure domains.
	Hosts   int `toml:"hosts"`
	Domains int `toml:"domains"`
}

// voters returns the number of voters needed: of 2f+1 voters, a majority is left after f are
// lost. For domains this assumes that voters are spread evenly over the failure domains.
func (t Tolerance) voters() int { return 2*max(t.Hosts, t.Domains) + 1 }

// GroupSettings is the [control.groups] section.
type GroupSettings struct {
	// CounterPeriod is the time between two windows of the expert counters.
	CounterPeriod kernel.Duration `toml:"counter_period"`
	// CounterRanks is the number of ranks of a group that are read in one window, in turn; 0
	// is all. The counters of the others accumulate until they are read.
	CounterRanks int `toml:"counter_ranks"`
	// PlanPeriod is the time between two plans of one group.
	PlanPeriod kernel.Duration `toml:"plan_period"`
	// StageTimeout and ArmTimeout bound the phases of a map switch.
	StageTimeout kernel.Duration `toml:"stage_timeout"`
	ArmTimeout   kernel.Duration `toml:"arm_timeout"`
	// OrderTimeout bounds one order to a rank.
	OrderTimeout kernel.Duration `toml:"order_timeout"`
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Voters:          5,
		ElectionTimeout: kernel.Duration(time.Second),
		Heartbeat:       kernel.Duration(150 * time.Millisecond),
		SnapshotEvery:   10_000,
		MaxBatch:        512,
		ReplaceAfter:    kernel.Duration(5 * time.Second),
		Groups: GroupSettings{
			CounterPeriod: kernel.Duration(time.Second),
			PlanPeriod:    kernel.Duration(10 * time.Second),
			StageTimeout:  kernel.Duration(10 * time.Minute),
			ArmTimeout:    kernel.Duration(5 * time.Second),
			OrderTimeout:  kernel.Duration(2 * time.Second),
		},
	}
}

// Clock returns Now, or the default clock if it isn't set.
func (s *Settings) Clock() func() time.Time {
	if s.Now == nil {
		return kernel.BootClock()
	}
	return s.Now
}

// SetDefaults replaces zero values by their defaults and applies PeerPort to Members.
func (s *Settings) SetDefaults() {
	d := DefaultSettings()
	s.Voters = cmp.Or(s.Voters, d.Voters)
	s.ElectionTimeout = cmp.Or(s.ElectionTimeout, d.ElectionTimeout)
	s.Heartbeat = cmp.Or(s.Heartbeat, d.Heartbeat)
	s.MaxBatch = cmp.Or(s.MaxBatch, d.MaxBatch)
	s.SnapshotEvery = cmp.Or(s.SnapshotEvery, d.SnapshotEvery)
	s.ReplaceAfter = cmp.Or(s.ReplaceAfter, d.ReplaceAfter)
	s.Members = transport.WithPort(s.Members, s.PeerPort)
	if s.Lockstep != nil {
		s.Lockstep.SetDefaults()
	}
	g := &s.Groups
	g.CounterPeriod = cmp.Or(g.CounterPeriod, d.Groups.CounterPeriod)
	g.PlanPeriod = cmp.Or(g.PlanPeriod, d.Groups.PlanPeriod)
	g.StageTimeout = cmp.Or(g.StageTimeout, d.Groups.StageTimeout)
	g.ArmTimeout = cmp.Or(g.ArmTimeout, d.Groups.ArmTimeout)
	g.OrderTimeout = cmp.Or(g.OrderTimeout, d.Groups.OrderTimeout)
}

// Check returns an error that names the first invalid key.
func (s *Settings) Check() error {
	bad := func(key, detail string) error { return kernel.InvalidKey("control."+key, detail) }
	switch {
	case s.DataDir == "" && s.FS == nil:
		return bad("data_dir", "must not be empty")
	case len(s.Members) == 0:
		return bad("members", "must name at least one control replica")
	case s.Voters < 1 || s.Voters > 9 || s.Voters%2 == 0:
		return bad("voters", "must be an odd number from 1 to 9")
	case s.Heartbeat <= 0 || s.ElectionTimeout < 3*s.Heartbeat:
		return bad("election_timeout", "must be at least three times heartbeat")
	case s.PeerPort < 0 || s.PeerPort > 65535:
		return bad("peer_port", "must be a port")
	case s.Tolerate != nil && (s.Tolerate.Hosts < 0 || s.Tolerate.Domains < 0):
		return bad("tolerate", "must not be negative")
	case s.MaxBatch < 1:
		return bad("max_batch", "must be at least 1")
	case s.SnapshotEvery < 10:
		return bad("snapshot_every", "must be at least 10")
	}
	if s.Groups.CounterRanks < 0 {
		return bad("groups.counter_ranks", "must not be negative")
	}
	if key := s.Groups.firstNonPositiveKey(); key != "" {
		return bad("groups."+key, "must be positive")
	}
	if s.Lockstep != nil {
		if err := s.Lockstep.Check(bad); err != nil {
			return err
		}
	}
	return kernel.CheckAddress("control.members", s.Members...)
}

// firstNonPositiveKey returns the key of the first duration that isn't positive, or "".
func (g *GroupSettings) firstNonPositiveKey() string {
	for _, d := range []struct {
		key   string
		value kernel.Duration
	}{
		{"counter_period", g.CounterPeriod},
		{"plan_period", g.PlanPeriod},
		{"stage_timeout", g.StageTimeout},
		{"arm_timeout", g.ArmTimeout},
		{"order_timeout", g.OrderTimeout},
	} {
		if d.value <= 0 {
			return d.key
		}
	}
	return ""
}

// OpenFolder returns FS if that is set, or else the data folder.
func (s *Settings) OpenFolder() (wal.FS, error) {
	if s.FS != nil {
		return s.FS, nil
	}
	return wal.OpenFolder(s.DataDir)
}

// voterTarget returns the number of voters that the cluster should have. It is odd.
func (s *Settings) voterTarget() int {
	if s.Tolerate != nil {
		return s.Tolerate.voters()
	}
	n := min(s.Voters, len(s.Members))
	if n%2 == 0 {
		n--
	}
	return n
}
