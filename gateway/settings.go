package gateway

import (
	"cmp"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/transport"
)

var (
	// ErrStart is returned by Start if an address can't be listened on.
	ErrStart = merry.Sentinel("gateway can't start")
)

// minRoutingMaxAge leaves time for a follower's state to be confirmed by its leader, and for the answer.
const minRoutingMaxAge = kernel.Duration(500 * time.Millisecond)

// Settings are the settings of snipereach-gateway.
type Settings struct {
	ID            string                `toml:"id"`
	FailureDomain string                `toml:"failure_domain"`
	ClusterSecret string                `toml:"cluster_secret"`
	TLS           transport.TLSSettings `toml:"tls"`
	// Listen is the address for callers. Ready is the address of the readiness check.
	Listen string `toml:"listen"`
	Ready  string `toml:"ready_listen"`
	// Metrics is the address of the metrics and the state dump; empty disables them.
	Metrics string `toml:"metrics_listen"`
	// Dialect names the plug-in that defines the headers and calls of callers and upstreams.
	Dialect string `toml:"dialect"`
	// Replicas are the control replicas to contact first. If PeerPort is set, any address of
	// their hosts will do.
	Replicas []string `toml:"replicas"`
	PeerPort int      `toml:"peer_port"`
	// AnnounceInterval is the interval of the announcements to the control replicas, and Lease
	// how long each is valid.
	AnnounceInterval kernel.Duration `toml:"announce_interval"`
	Lease            kernel.Duration `toml:"lease"`
	// Keep is how long callers may keep the list of gateways.
	Keep kernel.Duration `toml:"keep"`
	// RoutingMaxAge is how old the configuration may be by which a request is refused for good: one that
	// was last confirmed longer ago may have been replaced. It is the time within which operators expect
	// a change to be in force everywhere.
	RoutingMaxAge kernel.Duration `toml:"routing_max_age"`
	// StopLimit is the time between the stop signal and the forced stop.
	StopLimit kernel.Duration `toml:"stop_limit"`
	Retries   RetrySettings   `toml:"retries"`
	// IgnoreOutageForecast treats requests of prioritized services during outages as those of
	// other services.
	IgnoreOutageForecast bool `toml:"ignore_outage_forecast"`
	// IgnoreSilence turns off that silent ranks of prioritized services are ejected after one attempt,
	// and avoided because other gateways have reported them.
	IgnoreSilence bool              `toml:"ignore_silence"`
	Admission     AdmissionSettings `toml:"admission"`
	// Host is what the host gives to the process.
	Host kernel.HostSettings `toml:"host"`
	// Dial, if set, opens the connections to control replicas. A program that embeds a gateway may
	// set it, e.g. to simulate partitions.
	Dial transport.DialFunc `toml:"-"`
}

// AdmissionSettings is the [admission] section: which requests of services with several priorities are
// admitted first while not all can be.
type AdmissionSettings struct {
	// Priorities admits more urgent requests first and keeps room for them, where the requests of a
	// service differ in priority. Without it no service counts as prioritized.
	Priorities bool `toml:"priorities"`
	// TeamShares limits teams that ask for more than their fair share first.
	TeamShares bool `toml:"team_shares"`
}

// RetrySettings is the [retries] section: the retry budget of a service, shared by all gateways.
type RetrySettings struct {
	// Ratio is the number of retries allowed for each request.
	Ratio float64 `toml:"ratio"`
	// Slack is the number of retries allowed in each Window in addition.
	Slack  float64         `toml:"slack"`
	Window kernel.Duration `toml:"window"`
}

// DefaultSettings returns the default settings.
func DefaultSettings() *Settings {
	return &Settings{
		Listen:           "127.0.0.1:0",
		Ready:            "127.0.0.1:0",
		AnnounceInterval: kernel.Duration(time.Second),
		Lease:            kernel.Duration(3 * time.Second),
		Keep:             kernel.Duration(2 * time.Second),
		RoutingMaxAge:    kernel.Duration(2 * time.Second),
		StopLimit:        kernel.Duration(8 * time.Second),
		Retries:          RetrySettings{Ratio: 0.1, Slack: 10, Window: kernel.Duration(10 * time.Second)},
		Admission:        AdmissionSettings{Priorities: true, TeamShares: true},
	}
}

// SetDefaults implements kernel.Defaulter.
func (s *Settings) SetDefaults() { s.Replicas = transport.WithPort(s.Replicas, s.PeerPort) }

// Check returns an error that names the first invalid key.
func (s *Settings) Check() error {
	bad := kernel.InvalidKey
	switch {
	case s.ID == "":
		return bad("id", "must not be empty")
	case s.FailureDomain == "":
		return bad("failure_domain", "must not be empty")
	case s.Dialect == "":
		return bad("dialect", "must not be empty")
	case len(s.Replicas) == 0:
		return bad("replicas", "must name at least one control replica")
	case s.PeerPort < 0 || s.PeerPort > 65535:
		return bad("peer_port", "must be a port")
	case s.AnnounceInterval <= 0 || s.Lease < 2*s.AnnounceInterval:
		return bad("lease", "must be at least twice announce_interval")
	case s.RoutingMaxAge < minRoutingMaxAge:
		return bad("routing_max_age", "must be at least "+minRoutingMaxAge.D().String())
	case s.StopLimit <= 0:
		return bad("stop_limit", "must be positive")
	case s.Retries.Ratio < 0 || s.Retries.Slack < 0 || s.Retries.Window <= 0:
		return bad("retries", "must not be negative, and the window must be positive")
	}
	return cmp.Or(s.Host.Check(), kernel.CheckAddress("listen", s.Listen), kernel.CheckAddress("ready_listen", s.Ready))
}
