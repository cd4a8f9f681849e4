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

// Settings of an entry, as its TOML file gives them.
type Settings struct {
	// ID names the entry.
	ID            string `toml:"id"`
	FailureDomain string `toml:"failure_domain"`
	ClusterSecret string `toml:"cluster_secret"`
	// Callers is the HTTP address for callers, IP:port; port 0 takes a free one.
	Callers string `toml:"callers_listen"`
	// CallersAdvertise is the address told to callers; Callers if empty.
	CallersAdvertise string `toml:"callers_advertise"`
	// Operators is the HTTP address for operators; empty is off.
	Operators string `toml:"operators_listen"`
	// Operator lists who may edit the table there.
	Operator []operators.Operator `toml:"operator"`
	// Internal is the drpc address.
	Internal          string `toml:"internal_listen"`
	InternalAdvertise string `toml:"internal_advertise"`
	// InternalListener is used in place of Internal if set: who embeds an entry
	// may need its address before it starts.
	InternalListener net.Listener `toml:"-"`
	// Dial opens connections to other processes if set.
	Dial transport.DialFunc `toml:"-"`
	// Now is the clock, time.Now by default: who embeds an entry may want to hold
	// its time, as that of a host that is frozen.
	Now func() time.Time `toml:"-"`
	// CallersTLS, OperatorsTLS and TLS (between processes) turn TLS on.
	CallersTLS   transport.TLSSettings `toml:"callers_tls"`
	OperatorsTLS transport.TLSSettings `toml:"operators_tls"`
	TLS          transport.TLSSettings `toml:"tls"`
	// ControlReplicas lists drpc addresses of control replicas to follow.
	ControlReplicas []string `toml:"control_replicas"`
	// Control makes this entry a control replica too.
	Control *control.Settings `toml:"control"`
	// ClaimsDataDir is the folder for the records of claims: empty is memory only,
	// ClaimsDirAuto the folder ClaimsDirName of a control replica.
	ClaimsDataDir string `toml:"claims_data_dir"`
	// ClaimsFS is used in place of ClaimsDataDir if set.
	ClaimsFS wal.FS `toml:"-"`
	// ConfigLease is how long the entry stays listed without having its rows
	// confirmed as current.
	ConfigLease kernel.Duration `toml:"config_lease"`
	// Keep is how long callers may keep the list of entries.
	Keep kernel.Duration `toml:"keep"`
	// Slots is how many requests the entry carries at once.
	Slots         int `toml:"slots"`
	UrgentPercent int `toml:"urgent_percent"`
	MaxQueue      int `toml:"max_queue"`
	// MaxBodyMemory bounds the memory of all requests' bodies, in bytes, and
	// BodyTimeout the time that one body may take.
	MaxBodyMemory int64           `toml:"max_body_memory"`
	BodyTimeout   kernel.Duration `toml:"body_timeout"`
	// IdleTimeout is how long a caller's connection is kept without a request.
	IdleTimeout kernel.Duration `toml:"idle_timeout"`
	// ClaimRound is how long a claim of an idempotency key waits for the answers of
	// its registers before it asks again; after four rounds in vain the caller is told.
	ClaimRound kernel.Duration `toml:"claim_round"`
	// StopLimit bounds a planned stop.
	StopLimit kernel.Duration `toml:"stop_limit"`
	// Lease and AnnounceInterval are those of the entry's own announcement.
	Lease            kernel.Duration `toml:"lease"`
	AnnounceInterval kernel.Duration `toml:"announce_interval"`
}

// Values of ClaimsDataDir.
const (
	ClaimsDirAuto = "auto"
	ClaimsDirName = "claims"
)

// DefaultSettings returns the defaults.
func DefaultSettings() *Settings {
	return &Settings{
		Now:              time.Now,
		Callers:          "127.0.0.1:0",
		Internal:         "127.0.0.1:0",
		ClaimsDataDir:    ClaimsDirAuto,
		Keep:             kernel.Duration(10 * time.Second),
		Slots:            4096,
		UrgentPercent:    10,
		MaxQueue:         4096,
		MaxBodyMemory:    64 << 20,
		BodyTimeout:      kernel.Duration(30 * time.Second),
		IdleTimeout:      kernel.Duration(2 * time.Minute),
		ClaimRound:       kernel.Duration(claim.RoundTimeout),
		StopLimit:        kernel.Duration(5 * time.Minute),
		Lease:            kernel.Duration(3 * time.Second),
		AnnounceInterval: kernel.Duration(500 * time.Millisecond),
		ConfigLease:      kernel.Duration(10 * time.Second),
	}
}

// SetDefaults implements kernel.Defaulter.
func (s *Settings) SetDefaults() {
	if s.Control != nil {
		s.Control.SetDefaults()
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
	case s.Slots < 1:
		return bad("slots", "must be at least 1")
	case s.UrgentPercent < 0 || s.UrgentPercent > 90:
		return bad("urgent_percent", "must be from 0 to 90")
	case s.MaxBodyMemory < 1<<20:
		return bad("max_body_memory", "must be at least 1048576")
	case s.BodyTimeout < kernel.Duration(time.Second):
		return bad("body_timeout", "must be at least 1s")
	case s.ClaimRound < kernel.Duration(10*time.Millisecond):
		return bad("claim_round", "must be at least 10ms")
	case s.IdleTimeout < kernel.Duration(time.Second):
		return bad("idle_timeout", "must be at least 1s")
	case s.Keep < kernel.Duration(time.Second):
		return bad("keep", "must be at least 1s")
	case len(s.ControlReplicas) == 0 && s.Control == nil:
		return bad("control_replicas", "must name at least one control replica")
	case s.ClaimsDataDir != "" && s.Control != nil && filepath.Clean(s.ClaimsDataDir) == filepath.Clean(s.Control.DataDir):
		return bad("claims_data_dir", "must not be control.data_dir itself")
	case s.ConfigLease < kernel.Duration(3*time.Second):
		return bad("config_lease", "must be at least 3s")
	case s.CallersTLS.CA != "":
		return bad("callers_tls.ca", "must be empty: callers show no certificate")
	case s.OperatorsTLS.CA != "":
		return bad("operators_tls.ca", "must be empty: operators prove themselves by their keys")
	case s.Lease < 2*s.AnnounceInterval:
		return bad("lease", "must be at least twice announce_interval")
	}
	err := cmp.Or(
		kernel.CheckAddress("callers_listen", s.Callers), kernel.CheckAddress("internal_listen", s.Internal),
		kernel.CheckAddress("control_replicas", s.ControlReplicas...), s.checkOperators(),
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

// claimsFolder opens the folder for the records of claims; nil is memory only.
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

// replicas lists the control replicas to follow.
func (s *Settings) replicas() []string {
	if len(s.ControlReplicas) == 0 {
		return s.Control.Members
	}
	return s.ControlReplicas
}
