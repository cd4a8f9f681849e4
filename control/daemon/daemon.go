// Package daemon is the process of a control replica, snipereach-control: its settings, its
// servers, and the HTTP API for operators, for upstreams without an agent and for callers that
// discover entries.
package daemon

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kit/log"

	"github.com/snipereach/snipereach/control"
	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/httpserver"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/memory"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

// Defaults of the [api] section.
const (
	// defaultKeep lets callers notice a changed list of entries within a few seconds.
	defaultKeep = 2 * time.Second
	// defaultRegistrationLease is long enough for two late heartbeats of upstreams that send
	// one about every second.
	defaultRegistrationLease = 4 * time.Second
)

// ErrStart is returned if the daemon or its API can't listen.
var ErrStart = merry.Sentinel("control can't start")

// Settings are the settings of snipereach-control.
type Settings struct {
	ID            string                `toml:"id"`
	FailureDomain string                `toml:"failure_domain"`
	ClusterSecret string                `toml:"cluster_secret"`
	TLS           transport.TLSSettings `toml:"tls"`
	// Listen is the drpc address. Advertise is the address that other processes use; it
	// defaults to the listener's address.
	Listen    string `toml:"listen"`
	Advertise string `toml:"advertise"`
	// OperatorsListen is the HTTP address of the metrics, the state dump and the demand; empty disables it.
	OperatorsListen string `toml:"operators_listen"`
	// API configures the HTTP API; nil disables it.
	API       *APISettings     `toml:"api"`
	Control   control.Settings `toml:"control"`
	StopLimit kernel.Duration  `toml:"stop_limit"`
	// Host is what the host gives to the process.
	Host kernel.HostSettings `toml:"host"`
	// Dial, if set, opens connections to other processes. Programs that embed a replica may
	// set it.
	Dial transport.DialFunc `toml:"-"`
}

// DefaultSettings returns the default settings.
func DefaultSettings() *Settings {
	return &Settings{
		Listen:    "127.0.0.1:0",
		Control:   control.DefaultSettings(),
		StopLimit: kernel.Duration(30 * time.Second),
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
	}
	if err := cmp.Or(kernel.CheckAddress("listen", s.Listen), s.Host.Check()); err != nil {
		return err
	}
	if s.API != nil {
		if err := s.API.Check(); err != nil {
			return err
		}
	}
	return s.Control.Check()
}

// SetDefaults implements kernel.Defaulter.
func (s *Settings) SetDefaults() {
	s.Control.SetDefaults()
	if s.API != nil {
		s.API.EntryListTTL = cmp.Or(s.API.EntryListTTL, kernel.Duration(defaultKeep))
		s.API.Lease = cmp.Or(s.API.Lease, kernel.Duration(defaultRegistrationLease))
	}
}

// Daemon is the process of a control replica, snipereach-control. It implements kernel.Daemon.
type Daemon struct {
	settings *Settings
	log      log.Logger
	certs    *transport.Certificates
	pool     *transport.Pool
	srv      *transport.Server
	node     *directory.Node
	control  *control.Control
	dumps    kernel.Dumps
	lis      net.Listener
	ops      *httpserver.Server
	api      *api
	// requestMemory bounds what is held of requests at all HTTP listeners.
	requestMemory *memory.Budget
	cancel        context.CancelFunc
}

// New returns a daemon. It returns an error if the settings are invalid.
func New(s *Settings, l log.Logger) (*Daemon, error) {
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
		node:          directory.NewNode(directorySettings(), s.Control.Clock(), nil),
		requestMemory: memory.NewBudget(s.Host.RequestBytes(), 0),
	}
	d.srv.SetMaxStrangers(s.Host.Strangers())
	d.pool.SetDial(s.Dial)
	if d.control, err = control.New(s.Control, l, d.pool); err != nil {
		return nil, err
	}
	d.srv.CountTraffic(transport.NewTraffic("control.traffic.", d.control.Metrics().Registry))
	d.dumps.Add("control", d.control.Dump)
	d.dumps.Add("directory", d.node.Dump)
	if s.API == nil {
		// Entries without agents make no claims, so there is no ring of registers.
		d.control.SetEntrySource(d.node.RingMembers)
	} else if d.api, err = newAPI(d, s.Control.Clock(), l); err != nil {
		return nil, err
	}
	d.node.SetReplicas(d.control.DirectoryReplicas)
	d.control.SetUpstreamSource(control.UpstreamLister(d.node))
	d.control.SetRankAnswerHandler(d.node.RenewDirect)
	if err := d.control.Register(d.srv.Mux); err != nil {
		return nil, err
	}
	if err := d.dumps.Register(d.srv.Mux); err != nil {
		return nil, err
	}
	return d, wire.DRPCRegisterDirectory(d.srv.Mux, control.NewDirectoryService(d.node, d.control))
}

// directorySettings returns the settings of a replica's directory. A replica sends no probes
// and doesn't wait for their replies: the leader reads the ranks of its groups all the time.
func directorySettings() directory.Settings {
	s := directory.DefaultSettings()
	s.ProbeTimeout = 0
	return s
}

// Start implements kernel.Daemon.
func (d *Daemon) Start(ctx context.Context) error {
	lis, err := transport.Listen(ctx, d.settings.Listen)
	if err != nil {
		return merry.Prepend(ErrStart, err.Error())
	}
	d.lis = lis
	ctx, d.cancel = context.WithCancel(ctx)
	if err := d.keepDepartures(ctx); err != nil {
		return err
	}
	go d.srv.Serve(ctx, lis)
	go d.node.Run(ctx)
	info := control.ReplicaInfo{Name: d.settings.ID, Address: d.address(), FailureDomain: d.settings.FailureDomain}
	if err := d.control.Start(ctx, info); err != nil {
		return err
	}
	peers := func() []string { return d.control.ReplicaAddresses(ctx) }
	d.node.FollowEach(ctx, peers, d.pool.Conn, &wire.DirectoryWatchRequest{Watcher: d.settings.ID, LocalOnly: true})
	if d.settings.Control.Lockstep != nil {
		go d.control.FollowSurveys(ctx, d.settings.ID, peers)
	}
	if d.api != nil {
		if err := d.api.start(); err != nil {
			return err
		}
		d.keepRegistrations(ctx)
	}
	kernel.Info(d.log, "Listening.", "id", d.settings.ID, "addr", lis.Addr())
	return d.startOperators()
}

// keepDepartures restores the departures that were stored before the start, before anything that is
// older can arrive, and stores later ones before they are acknowledged.
func (d *Daemon) keepDepartures(ctx context.Context) error {
	folder, err := d.settings.Control.OpenFolder()
	if err != nil {
		return merry.Prepend(ErrStart, err.Error())
	}
	departures := newDepartureLog(folder, d.log, time.Now)
	list, err := departures.load()
	kernel.Info(d.log, "Stored departures.", "upstreams", len(list), "err", err)
	d.node.RestoreDepartures(list)
	d.node.SetDepartureLog(departures)
	go departures.run(ctx)
	return nil
}

// keepRegistrations offers the registrations that were saved before the start, and saves those of now
// in the background.
func (d *Daemon) keepRegistrations(ctx context.Context) {
	if d.settings.Control.DataDir == "" {
		return
	}
	store := registrationStore{folder: d.settings.Control.DataDir, wallClock: time.Now}
	saved, err := store.load()
	peers := len(d.control.ReplicaAddresses(ctx))
	kernel.Info(d.log, "Saved registrations.", "upstreams", len(saved), "replicas", peers, "err", err)
	d.node.OfferSaved(saved, peers)
	go store.keep(ctx, d.log, d.node.Registrations)
}

func (d *Daemon) address() string {
	if d.settings.Advertise != "" {
		return d.settings.Advertise
	}
	return d.lis.Addr().String()
}

func (d *Daemon) startOperators() error {
	if d.settings.OperatorsListen == "" {
		return nil
	}
	lis, err := net.Listen("tcp", d.settings.OperatorsListen)
	if err != nil {
		return merry.Prepend(ErrStart, err.Error())
	}
	mux := http.NewServeMux()
	mux.Handle("/debug/state", &d.dumps)
	mux.HandleFunc("GET /v1/demand", d.serveDemand)
	m := d.control.Metrics()
	d.control.RegisterMetrics(m.Registry)
	mux.Handle("/metrics", kernel.MetricsHandler(m.Registry))
	mux.Handle("/metrics.txt", m)
	d.ops = httpserver.New(httpserver.Options{
		Name: "operators", Handler: mux, Log: d.log, Budget: d.requestMemory, MaxConnections: d.settings.Host.OperatorConnections(), Metrics: clientMetrics, Count: m.Count,
	})
	go d.ops.Serve(lis)
	return nil
}

// Drain implements kernel.Daemon. A replica that leads transfers leadership.
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
	if d.api != nil {
		d.api.stop()
	}
	d.srv.Close()
	d.pool.Close()
	return 0
}

// Reload implements kernel.Reloader. It reloads the TLS certificates.
func (d *Daemon) Reload() error {
	if d.certs == nil {
		return nil
	}
	return d.certs.Reload()
}
