package control

import (
	"cmp"
	"time"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/lockstep"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wal"
)

// Settings of a control replica: the [control] section of an entry's file, or
// the file of snipereach-control.
type Settings struct {
	// DataDir is the one folder for durable state.
	DataDir string `toml:"data_dir"`
	// FS is used in place of DataDir if set: who embeds a replica may bring a
	// disk of its own.
	FS wal.FS `toml:"-"`
	// Now is the clock in place of kernel.BootClock if set: who embeds a replica may want to
	// hold its time, as that of a host that is frozen.
	Now func() time.Time `toml:"-"`
	// Members lists the drpc addresses of all control replicas, this one too.
	Members []string `toml:"members"`
	// FormCluster lets a new cluster be formed when all members are new. Turn it
	// off once the cluster stands.
	FormCluster bool `toml:"form_cluster"`
	// PeerPort replaces the port of each member if set, where the members are
	// known by another address of the same hosts.
	PeerPort int `toml:"peer_port"`
	// Voters is how many members vote at most; the others are learners.
	Voters int `toml:"voters"`
	// Tolerate sets the number of voters by what may be lost at once. Members are
	// then only those to ask first: more may join.
	Tolerate *Tolerance `toml:"tolerate"`
	// ElectionTimeout and Heartbeat of the replicated log.
	ElectionTimeout kernel.Duration `toml:"election_timeout"`
	Heartbeat       kernel.Duration `toml:"heartbeat"`
	// SnapshotEvery is how many log entries pass between snapshots.
	SnapshotEvery int `toml:"snapshot_every"`
	// MaxBatch bounds the calls that share one sync; 1 turns group commit off.
	MaxBatch int `toml:"max_batch"`
	// ReplaceAfter is how long a member must be silent before another folder
	// may take its name.
	ReplaceAfter kernel.Duration `toml:"replace_after"`
	// Groups is how a leader looks after the expert maps of groups.
	Groups GroupSettings `toml:"groups"`
	// Lockstep is the same for groups whose ranks are called directly; off if the
	// section isn't there.
	Lockstep *LockstepSettings `toml:"lockstep"`
}

// LockstepSettings is the [control.lockstep] section.
type LockstepSettings struct {
	// Dialect names the plug-in that knows the ranks' names.
	Dialect string `toml:"dialect"`
	// SidecarPort is where the process beside each rank listens; 0 if there is none.
	SidecarPort int `toml:"sidecar_port"`
	// ReadPeriod is the least time between two readings of one rank's counters. It is
	// longer where there are many ranks (mostReadings).
	ReadPeriod kernel.Duration `toml:"read_period"`
}

const (
	// defaultReadPeriod is also that of the windows of an estimate of demand, so that each
	// one has a reading of every rank. A shift of demand shows in the first whole window
	// after it and is planned for after the second: with 150 ms that took 0.55 s, and until
	// its copies are made all callers wait for the busiest rank.
	defaultReadPeriod = 75 * time.Millisecond
	// mostReadings bounds the readings of all ranks, a second: at 480, of 72 ranks that are
	// read one by one, a leader spends 0.05 cores on them.
	mostReadings = 480
	// relayedReadings is how many readings a call to a relay counts as: it brings the states
	// of a dozen ranks, and one sum of their counters.
	relayedReadings = 5
)

// readPeriodFor is the time between two readings of one rank, of groups of these sizes.
func (s *LockstepSettings) readPeriodFor(groups []int) time.Duration {
	readings := 0
	for _, ranks := range groups {
		if calls, relayed := lockstep.CallsFor(ranks); relayed {
			readings += relayedReadings * calls
		} else {
			readings += calls
		}
	}
	return max(s.ReadPeriod.D(), time.Duration(readings)*time.Second/mostReadings)
}

func (s *LockstepSettings) check(bad func(key, detail string) error) error {
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

// Tolerance is the [control.tolerate] section: how much may be lost at the same
// time with everything accepted kept and edits still taken.
type Tolerance struct {
	// Hosts and Domains are numbers of hosts and of whole failure domains.
	Hosts   int `toml:"hosts"`
	Domains int `toml:"domains"`
}

// voters returns how many voters outlive the loss: a majority of 2f+1 is left
// after f, if no failure domain holds more voters than another by two.
func (t Tolerance) voters() int { return 2*max(t.Hosts, t.Domains) + 1 }

// GroupSettings is the [control.groups] section.
type GroupSettings struct {
	// CounterPeriod is the time between two windows of expert counters.
	CounterPeriod kernel.Duration `toml:"counter_period"`
	// CounterRanks is how many ranks of a group are asked in one window, in turn;
	// 0 is all. The others count on until it is their turn.
	CounterRanks int `toml:"counter_ranks"`
	// PlanPeriod is the time between two plans of one group.
	PlanPeriod kernel.Duration `toml:"plan_period"`
	// StageTimeout and ArmTimeout bound the phases of a switch.
	StageTimeout kernel.Duration `toml:"stage_timeout"`
	ArmTimeout   kernel.Duration `toml:"arm_timeout"`
	// OrderTimeout bounds one order to a rank.
	OrderTimeout kernel.Duration `toml:"order_timeout"`
}

// DefaultSettings returns the defaults.
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

// clock returns the clock that the settings name.
func (s *Settings) clock() func() time.Time {
	if s.Now == nil {
		return kernel.BootClock()
	}
	return s.Now
}

// SetDefaults fills in what a section leaves out.
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
		s.Lockstep.ReadPeriod = cmp.Or(s.Lockstep.ReadPeriod, kernel.Duration(defaultReadPeriod))
	}
	g := &s.Groups
	g.CounterPeriod = cmp.Or(g.CounterPeriod, d.Groups.CounterPeriod)
	g.PlanPeriod = cmp.Or(g.PlanPeriod, d.Groups.PlanPeriod)
	g.StageTimeout = cmp.Or(g.StageTimeout, d.Groups.StageTimeout)
	g.ArmTimeout = cmp.Or(g.ArmTimeout, d.Groups.ArmTimeout)
	g.OrderTimeout = cmp.Or(g.OrderTimeout, d.Groups.OrderTimeout)
}

// Check names the first key that is wrong.
func (s *Settings) Check() error {
	bad := func(key, detail string) error { return kernel.BadKey("control."+key, detail) }
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
	if key := s.Groups.notPositive(); key != "" {
		return bad("groups."+key, "must be positive")
	}
	if s.Lockstep != nil {
		if err := s.Lockstep.check(bad); err != nil {
			return err
		}
	}
	return kernel.CheckAddress("control.members", s.Members...)
}

// notPositive names the first time that isn't, or "".
func (g *GroupSettings) notPositive() string {
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

// voterTarget is how many voters the cluster should have.
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
