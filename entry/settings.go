package entry

import (
	"cmp"
	"net"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/claim"
	"github.com/snipereach/snipereach/control"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/operators"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wal"
)

// Settings are the settings of an entry, as read from its TOML file.
type Settings struct {
	ID            string `toml:"id"`
	FailureDomain string `toml:"failure_domain"`
	ClusterSecret string `toml:"cluster_secret"`
	// Callers is the HTTP address for callers, IP:port; port 0 selects a free port.
	Callers string `toml:"callers_listen"`
	// CallersAdvertise is the address in the list of entries; if empty, it is the
	// address that the entry listens at.
	CallersAdvertise string `toml:"callers_advertise"`
	// Operators is the HTTP address for operators; if empty, there is none.
	Operators string `toml:"operators_listen"`
	// Operator lists the authorized operators.
	Operator []operators.Operator `toml:"operator"`
	// Internal is the drpc address.
	Internal          string `toml:"internal_listen"`
	InternalAdvertise string `toml:"internal_advertise"`
	// InternalListener is used in place of Internal if set. An embedding program may
	// need the address before the entry starts.
	InternalListener net.Listener `toml:"-"`
	// Dial, if set, opens the connections to other processes.
	Dial transport.DialFunc `toml:"-"`
	// Now is the clock, time.Now by default. An embedding program may replace it, e.g.
	// to simulate a frozen host.
	Now func() time.Time `toml:"-"`
	// CallersTLS and OperatorsTLS enable TLS for callers and operators, TLS between
	// processes.
	CallersTLS   transport.TLSSettings `toml:"callers_tls"`
	OperatorsTLS transport.TLSSettings `toml:"operators_tls"`
	TLS          transport.TLSSettings `toml:"tls"`
	// ControlReplicas lists the drpc addresses of the control replicas.
	ControlReplicas []string `toml:"control_replicas"`
	// Control, if set, makes this entry a control replica too.
	Control *control.Settings `toml:"control"`
	// ClaimsDataDir is the folder for the records of claims. If it is empty, they are
	// kept in memory only. ClaimsDirAuto means the folder ClaimsDirName in the data
	// folder of a control replica, and memory only for other entries.
	ClaimsDataDir string `toml:"claims_data_dir"`
	// ClaimsFS is used in place of ClaimsDataDir if set.
	ClaimsFS wal.FS `toml:"-"`
	// ConfigLease is how long the entry stays in the list of entries without a
	// confirmation that its rows are current.
	ConfigLease kernel.Duration `toml:"config_lease"`
	// RowsMaxAge is how old the rows may be by which a request is refused for good: rows that were last
	// confirmed longer ago may have been replaced.
	RowsMaxAge kernel.Duration `toml:"rows_max_age"`
	// EntryListTTL is how long callers may cache the list of entries.
	EntryListTTL kernel.Duration `toml:"keep"`
	// Slots is the maximum number of concurrent requests.
	Slots         int `toml:"slots"`
	UrgentPercent int `toml:"urgent_percent"`
	MaxQueue      int `toml:"max_queue"`
	// Host is what the host gives to the process.
	Host kernel.HostSettings `toml:"host"`
	// MaxBodyMemory bounds the memory of all heads and bodies of requests, in bytes. BodyTimeout
	// bounds the time to receive one body.
	MaxBodyMemory int64           `toml:"max_body_memory"`
	BodyTimeout   kernel.Duration `toml:"body_timeout"`
	// IdleTimeout is how long a caller's idle connection stays open.
	IdleTimeout kernel.Duration `toml:"idle_timeout"`
	// ClaimRoundTimeout is how long a claim of an idempotency key waits for the answers of its
	// registers before it retries; the request is refused after four failed rounds.
	ClaimRoundTimeout kernel.Duration `toml:"claim_round"`
	// StopLimit bounds the duration of a graceful stop.
	StopLimit kernel.Duration `toml:"stop_limit"`
	// Lease is how long the directory keeps the entry after an announcement, and
	// AnnounceInterval the time between two announcements.
	Lease            kernel.Duration `toml:"lease"`
	AnnounceInterval kernel.Duration `toml:"announce_interval"`
}

// minRowsMaxAge leaves time for the answer of the leader.
const minRowsMaxAge = kernel.Duration(500 * time.Millisecond)

// Values of ClaimsDataDir.
const (
	ClaimsDirAuto = "auto"
	ClaimsDirName = "claims"
)

func DefaultSettings() *Settings {
	return &Settings{
		Now:               time.Now,
		Callers:           "127.0.0.1:0",
		Internal:          "127.0.0.1:0",
		ClaimsDataDir:     ClaimsDirAuto,
		EntryListTTL:      kernel.Duration(10 * time.Second),
		Slots:             4096,
		UrgentPercent:     10,
		MaxQueue:          4096,
		MaxBodyMemory:     64 << 20,
		BodyTimeout:       kernel.Duration(30 * time.Second),
		IdleTimeout:       kernel.Duration(2 * time.Minute),
		ClaimRoundTimeout: kernel.Duration(claim.DefaultRoundTimeout),
		StopLimit:         kernel.Duration(5 * time.Minute),
		Lease:             kernel.Duration(3 * time.Second),
		AnnounceInterval:  kernel.Duration(500 * time.Millisecond),
		ConfigLease:       kernel.Duration(10 * time.Second),
		RowsMaxAge:        kernel.Duration(2 * time.Second),
	}
}

// SetDefaults implements kernel.Defaulter.
func (s *Settings) SetDefaults() {
	if s.Control != nil {
		s.Control.SetDefaults()
	}
}

// Check returns an error that names the first invalid key.
func (s *Settings) Check() error {
	badKey := kernel.InvalidKey
	switch {
	case s.ID == "":
		return badKey("id", "must not be empty")
	case s.FailureDomain == "":
		return badKey("failure_domain", "must not be empty")
	case s.Slots < 1:
		return badKey("slots", "must be at least 1")
	case s.UrgentPercent < 0 || s.UrgentPercent > 90:
		return badKey("urgent_percent", "must be from 0 to 90")
	case s.MaxBodyMemory < 1<<20:
		return badKey("max_body_memory", "must be at least 1048576")
	case s.BodyTimeout < kernel.Duration(time.Second):
		return badKey("body_timeout", "must be at least 1s")
	case s.ClaimRoundTimeout < kernel.Duration(10*time.Millisecond):
		return badKey("claim_round", "must be at least 10ms")
	case s.IdleTimeout < kernel.Duration(time.Second):
		return badKey("idle_timeout", "must be at least 1s")
	case s.EntryListTTL < kernel.Duration(time.Second):
		return badKey("keep", "must be at least 1s")
	case len(s.ControlReplicas) == 0 && s.Control == nil:
		return badKey("control_replicas", "must name at least one control replica")
	case s.ClaimsDataDir != "" && s.Control != nil && filepath.Clean(s.ClaimsDataDir) == filepath.Clean(s.Control.DataDir):
		return badKey("claims_data_dir", "must not be control.data_dir itself")
	case s.ConfigLease < kernel.Duration(3*time.Second):
		return badKey("config_lease", "must be at least 3s")
	case s.RowsMaxAge < minRowsMaxAge:
		return badKey("rows_max_age", "must be at least "+minRowsMaxAge.D().String())
	case s.CallersTLS.CA != "":
		return badKey("callers_tls.ca", "must be empty: callers do not use client certificates")
	case s.OperatorsTLS.CA != "":
		return badKey("operators_tls.ca", "must be empty: operators authenticate by their keys")
	case s.Lease < 2*s.AnnounceInterval:
		return badKey("lease", "must be at least twice announce_interval")
	}
	err := cmp.Or(
		kernel.CheckAddress("callers_listen", s.Callers), kernel.CheckAddress("internal_listen", s.Internal),
		kernel.CheckAddress("control_replicas", s.ControlReplicas...), s.checkOperators(), s.Host.Check(),
	)
	if err != nil {
		return err
	}
	if s.Control != nil {
		return s.Control.Check()
	}
	return nil
}

func (s *Settings) checkOperators() error {
	if err := operators.CheckOperators(s.Operator); err != nil {
		return merry.Prepend(kernel.ErrSettings, err.Error())
	}
	if s.Operators == "" {
		return nil
	}
	return kernel.CheckAddress("operators_listen", s.Operators)
}

// claimsFolder opens the folder for the records of claims. It returns nil if they are
// kept in memory only.
func (s *Settings) claimsFolder() (wal.FS, error) {
	dir := s.ClaimsDataDir
	if s.ClaimsFS != nil {
		return s.ClaimsFS, nil
	}
	if dir == ClaimsDirAuto {
		if s.Control == nil || s.Control.FS != nil {
			return nil, nil
		}
		dir = filepath.Join(s.Control.DataDir, ClaimsDirName)
	}
	if dir == "" {
		return nil, nil
	}
	return wal.OpenFolder(dir)
}

// replicas returns the drpc addresses of the control replicas.
func (s *Settings) replicas() []string {
	if len(s.ControlReplicas) == 0 {
		return s.Control.Members
	}
	return s.ControlReplicas
}
