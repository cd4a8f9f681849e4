package sidecar

import (
	"cmp"
	"context"
	"net"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kit/log"

	"github.com/snipereach/snipereach/dialect"
	"github.com/snipereach/snipereach/direct"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

// ErrStart is returned when the daemon can't start.
var ErrStart = merry.Sentinel("sidecar can't start")

// rankDialTimeout bounds the dialing of the rank on the same host.
const rankDialTimeout = 500 * time.Millisecond

// localOrderTimeout bounds the wait for the answer of the rank on the same host to an order.
// It is short because all ranks of a paused group wait for a lost answer to be detected.
const localOrderTimeout = 40 * time.Millisecond

// Settings are the settings of snipereach-sidecar.
type Settings struct {
	ID            string                `toml:"id"`
	ClusterSecret string                `toml:"cluster_secret"`
	TLS           transport.TLSSettings `toml:"tls"`
	// Listen is the drpc address for control replicas.
	Listen string `toml:"listen"`
	// Rank is the HTTP address of the rank on the same host.
	Rank string `toml:"rank"`
	// Dialect is the name of the plug-in for the rank's HTTP API.
	Dialect   string          `toml:"dialect"`
	StopLimit kernel.Duration `toml:"stop_limit"`
	// Host is what the host gives to the process.
	Host kernel.HostSettings `toml:"host"`
}

func DefaultSettings() *Settings {
	return &Settings{Listen: "127.0.0.1:0", StopLimit: kernel.Duration(5 * time.Second)}
}

// Check returns an error that names the first invalid key.
func (s *Settings) Check() error {
	badKey := kernel.InvalidKey
	if s.ID == "" {
		return badKey("id", "must not be empty")
	}
	if s.Dialect == "" {
		return badKey("dialect", "must not be empty")
	}
	return cmp.Or(s.Host.Check(), kernel.CheckAddress("listen", s.Listen), kernel.CheckAddress("rank", s.Rank))
}

// Daemon forwards reads and orders to the rank on the same host and, as a relay, to the
// sidecars of other ranks. It implements kernel.Daemon. It doesn't check whether an order
// is valid: the group's fencing token decides that. It caches the counters last reported
// to each leader and the latest expert maps.
type Daemon struct {
	settings *Settings
	log      log.Logger
	srv      *transport.Server
	pool     *transport.Pool
	client   *direct.Client
	listener net.Listener
	cancel   context.CancelFunc
}

// New checks the settings and creates a daemon.
func New(s *Settings, l log.Logger) (*Daemon, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	dia, err := dialect.ByName(s.Dialect)
	if err != nil {
		return nil, err
	}
	sec, _, err := transport.NewSecurity(s.ClusterSecret, s.TLS)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		settings: s, log: kernel.PartLog(l, "sidecar"), srv: transport.NewServer(sec), pool: transport.NewPool(sec),
		client: direct.NewClient(transport.NewDialer(rankDialTimeout).DialContext),
	}
	d.srv.SetMaxStrangers(s.Host.Strangers())
	rank := NewRank(d.client, dia, s.Rank, localOrderTimeout)
	return d, wire.DRPCRegisterSidecar(d.srv.Mux, NewService(rank, s.Listen, d.pool))
}

// Start implements kernel.Daemon.
func (d *Daemon) Start(ctx context.Context) error {
	ctx, d.cancel = context.WithCancel(ctx)
	listener, err := transport.Listen(ctx, d.settings.Listen)
	if err != nil {
		return merry.Prepend(ErrStart, err.Error())
	}
	d.listener = listener
	go d.srv.Serve(ctx, listener)
	kernel.Info(d.log, "Started.", "id", d.settings.ID, "addr", listener.Addr(), "rank", d.settings.Rank, "version", kernel.Version)
	return nil
}

// Drain implements kernel.Daemon. There is nothing to wait for but single calls.
func (d *Daemon) Drain(context.Context) error { return nil }

// Stop implements kernel.Daemon.
func (d *Daemon) Stop() int {
	if d.cancel != nil {
		d.cancel()
	}
	if d.listener != nil {
		_ = d.listener.Close()
	}
	d.srv.Close()
	d.pool.Close()
	d.client.Close()
	return 0
}
