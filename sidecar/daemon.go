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

// ErrStart is returned when the daemon can't come up.
var ErrStart = merry.Sentinel("sidecar can't start")

// dialRank bounds the opening of a connection to the rank on the same host.
const dialRank = 500 * time.Millisecond

// orderAnswer is how long the rank on the same host may take to answer an order. It
// takes a millisecond or two; while others wait in a held group, an answer that was
// lost must be noticed soon.
const orderAnswer = 40 * time.Millisecond

// Settings are those of snipereach-sidecar.
type Settings struct {
	ID            string                `toml:"id"`
	ClusterSecret string                `toml:"cluster_secret"`
	TLS           transport.TLSSettings `toml:"tls"`
	// Listen is the drpc address for control replicas.
	Listen string `toml:"listen"`
	// Rank is the HTTP address of the rank beside this process.
	Rank string `toml:"rank"`
	// Dialect names the plug-in that knows the rank's names.
	Dialect   string          `toml:"dialect"`
	StopLimit kernel.Duration `toml:"stop_limit"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() *Settings {
	return &Settings{Listen: "127.0.0.1:0", StopLimit: kernel.Duration(5 * time.Second)}
}

// Check names the first key that is wrong.
func (s *Settings) Check() error {
	bad := kernel.BadKey
	if s.ID == "" {
		return bad("id", "must not be empty")
	}
	if s.Dialect == "" {
		return bad("dialect", "must not be empty")
	}
	return cmp.Or(kernel.CheckAddress("listen", s.Listen), kernel.CheckAddress("rank", s.Rank))
}

// Daemon passes readings and orders on to the rank beside it, and as a relay to other
// ranks. It implements kernel.Daemon and keeps no state but the counters that leaders were
// told last: what may be ordered is decided by who holds the group's fencing token.
type Daemon struct {
	settings *Settings
	log      log.Logger
	srv      *transport.Server
	pool     *transport.Pool
	client   *direct.Client
	lis      net.Listener
	cancel   context.CancelFunc
}

// New makes a daemon from checked settings.
func New(s *Settings, l log.Logger) (*Daemon, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	dia, err := dialect.Named(s.Dialect)
	if err != nil {
		return nil, err
	}
	sec, _, err := transport.NewSecurity(s.ClusterSecret, s.TLS)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		settings: s, log: kernel.PartLog(l, "sidecar"), srv: transport.NewServer(sec), pool: transport.NewPool(sec),
		client: direct.NewClient(transport.NewDialer(dialRank).DialContext),
	}
	rank := NewRank(d.client, dia, s.Rank, orderAnswer)
	return d, wire.DRPCRegisterSidecar(d.srv.Mux, NewService(rank, s.Listen, d.pool))
}

// Start implements kernel.Daemon.
func (d *Daemon) Start(ctx context.Context) error {
	ctx, d.cancel = context.WithCancel(ctx)
	lis, err := transport.Listen(ctx, d.settings.Listen)
	if err != nil {
		return merry.Prepend(ErrStart, err.Error())
	}
	d.lis = lis
	go d.srv.Serve(ctx, lis)
	kernel.Info(d.log, "Started.", "id", d.settings.ID, "addr", lis.Addr(), "rank", d.settings.Rank, "version", kernel.Version)
	return nil
}

// Drain implements kernel.Daemon: nothing is in progress for longer than a call.
func (d *Daemon) Drain(context.Context) error { return nil }

// Stop implements kernel.Daemon.
func (d *Daemon) Stop() int {
	if d.cancel != nil {
		d.cancel()
	}
	if d.lis != nil {
		_ = d.lis.Close()
	}
	d.srv.Close()
	d.pool.Close()
	d.client.Close()
	return 0
}
