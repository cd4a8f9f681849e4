package control

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

// ErrStart is returned when the daemon can't come up.
var ErrStart = merry.Sentinel("control can't start")

// DaemonSettings are those of snipereach-control.
type DaemonSettings struct {
	ID            string                `toml:"id"`
	FailureDomain string                `toml:"failure_domain"`
	ClusterSecret string                `toml:"cluster_secret"`
	TLS           transport.TLSSettings `toml:"tls"`
	// Listen is the drpc address; Advertise is told to others, Listen if empty.
	Listen    string `toml:"listen"`
	Advertise string `toml:"advertise"`
	// Operators is the HTTP address of metrics and the state dump; empty is off.
	Operators string          `toml:"operators_listen"`
	Control   Settings        `toml:"control"`
	StopLimit kernel.Duration `toml:"stop_limit"`
	// Dial opens connections to other processes if set: who embeds a replica may
	// want a network of its own.
	Dial transport.DialFunc `toml:"-"`
}

// DefaultDaemonSettings returns the defaults.
func DefaultDaemonSettings() *DaemonSettings {
	return &DaemonSettings{
		Listen:    "127.0.0.1:0",
		Control:   DefaultSettings(),
		StopLimit: kernel.Duration(30 * time.Second),
	}
}

// Check names the first key that is wrong.
func (s *DaemonSettings) Check() error {
	bad := func(key, detail string) error {
		return merry.Prependf(kernel.ErrSettings, "key %q: %s", key, detail)
	}
	switch {
	case s.ID == "":
		return bad("id", "must not be empty")
	case s.FailureDomain == "":
		return bad("failure_domain", "must not be empty")
	}
	if _, _, err := net.SplitHostPort(s.Listen); err != nil {
		return bad("listen", err.Error())
	}
	return s.Control.Check()
}

// Daemon is a control replica on a host of its own. It implements kernel.Daemon.
type Daemon struct {
	settings *DaemonSettings
	log      log.Logger
	certs    *transport.Certificates
	pool     *transport.Pool
	srv      *transport.Server
	node     *directory.Node
	control  *Control
	dumps    kernel.Dumps
	lis      net.Listener
	ops      *http.Server
	cancel   context.CancelFunc
}

// NewDaemon makes a daemon from checked settings.
func NewDaemon(s *DaemonSettings, l log.Logger) (*Daemon, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	sec, certs, err := transport.NewSecurity(s.ClusterSecret, s.TLS)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		settings: s, log: kernel.PartLog(l, "control"), certs: certs,
		pool: transport.NewPool(sec), srv: transport.NewServer(sec),
		node: directory.NewNode(directory.DefaultSettings(), s.Control.clock(), nil),
	}
	d.pool.SetDial(s.Dial)
	if d.control, err = New(s.Control, l, d.pool); err != nil {
		return nil, err
	}
	d.dumps.Add("control", d.control.Dump)
	d.dumps.Add("directory", d.node.Dump)
	d.control.SetEntries(d.node.RingMembers)
	d.node.SetReplicas(d.control.DirectoryReplicas)
	d.control.SetUpstreams(UpstreamsOf(d.node))
	if err := d.control.Register(d.srv.Mux); err != nil {
		return nil, err
	}
	if err := d.dumps.Register(d.srv.Mux); err != nil {
		return nil, err
	}
	return d, wire.DRPCRegisterDirectory(d.srv.Mux, NewDirectoryService(d.node, d.control))
}

// Start implements kernel.Daemon.
func (d *Daemon) Start(ctx context.Context) error {
	lis, err := net.Listen("tcp", d.settings.Listen)
	if err != nil {
		return merry.Prepend(ErrStart, err.Error())
	}
	d.lis = lis
	ctx, d.cancel = context.WithCancel(ctx)
	go d.srv.Serve(ctx, lis)
	go d.node.Run(ctx)
	place := Place{Name: d.settings.ID, Address: d.address(), FailureDomain: d.settings.FailureDomain}
	if err := d.control.Start(ctx, place); err != nil {
		return err
	}
	d.node.FollowPeers(ctx, d.settings.Control.Members, d.address(), d.pool.Conn, d.settings.ID)
	kernel.Info(d.log, "Listening.", "id", d.settings.ID, "addr", lis.Addr())
	return d.startOperators()
}

func (d *Daemon) address() string {
	if d.settings.Advertise != "" {
		return d.settings.Advertise
	}
	return d.lis.Addr().String()
}

func (d *Daemon) startOperators() error {
	if d.settings.Operators == "" {
		return nil
	}
	lis, err := net.Listen("tcp", d.settings.Operators)
	if err != nil {
		return merry.Prepend(ErrStart, err.Error())
	}
	mux := http.NewServeMux()
	mux.Handle("/debug/state", &d.dumps)
	registry := metrics.NewRegistry()
	d.control.RegisterMetrics(registry)
	mux.Handle("/metrics", kernel.MetricsHandler(registry))
	d.ops = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = d.ops.Serve(lis) }()
	return nil
}

// Drain implements kernel.Daemon: a replica that leads hands over.
func (d *Daemon) Drain(ctx context.Context) error {
	d.control.Drain(ctx)
	return nil
}

// Stop implements kernel.Daemon.
func (d *Daemon) Stop() int {
	if d.cancel != nil {
		d.cancel()
	}
	d.control.Stop()
	if d.lis != nil {
		_ = d.lis.Close()
	}
	if d.ops != nil {
		_ = d.ops.Close()
	}
	d.srv.Close()
	d.pool.Close()
	return 0
}

// Reload implements kernel.Reloader.
func (d *Daemon) Reload() error {
	if d.certs == nil {
		return nil
	}
	return d.certs.Reload()
}
