// Package entry implements the daemon that accepts callers' requests. It admits,
// routes and forwards them to upstreams, and explains its refusals.
package entry

import (
	"context"
	"crypto/tls"
	"maps"
	"net"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/snipereach/snipereach/admit"
	"github.com/snipereach/snipereach/claim"
	"github.com/snipereach/snipereach/control"
	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/forward"
	"github.com/snipereach/snipereach/freshness"
	"github.com/snipereach/snipereach/httpserver"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/memory"
	"github.com/snipereach/snipereach/operators"
	"github.com/snipereach/snipereach/quarantine"
	"github.com/snipereach/snipereach/refusal"
	"github.com/snipereach/snipereach/route"
	"github.com/snipereach/snipereach/table"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

// ErrStart is returned when the entry can't start.
var ErrStart = merry.Sentinel("entry can't start")

// clientMetrics is the prefix of the counters of clients that are refused.
const clientMetrics = "entry.clients."

// callerHeadTimeout is how long a caller may take for the head of a request.
const callerHeadTimeout = 10 * time.Second

// Entry implements kernel.Daemon.
type Entry struct {
	settings                 *Settings
	log                      log.Logger
	sec                      transport.Security
	certs                    []*transport.Certificates
	callersTLS, operatorsTLS *tls.Config
	srv                      *transport.Server
	pool                     *transport.Pool
	node                     *directory.Node
	fwd                      *forward.Forwarder
	runner                   *admit.Runner
	signer                   *refusal.TokenSigner
	metrics                  metrics.Registry
	dumps                    kernel.Dumps
	view                     atomic.Pointer[table.View]
	draining                 atomic.Bool
	drainStarted             chan struct{}
	drained                  chan struct{}
	requests                 atomic.Int64
	incarnation              *directory.Incarnation
	seq                      atomic.Uint64
	started                  time.Time

	internalListener, callerListener, operatorListener net.Listener
	callerServer, operatorServer                       *httpserver.Server
	agentWatches                                       *agentWatches
	cancel                                             context.CancelFunc

	// controlTargets orders the control replicas that this entry uses.
	controlTargets *directory.Targets
	announcer      *directory.Announcer
	claims         *claim.Node
	quarantine     *quarantine.Node
	control        *control.Control
	controlClient  *control.Client
	operatorAPI    *operators.Handler
	teamLimits     *teamLimits
	requestMemory  *memory.Budget
	answers        metrics.Counter
	// rowsConfirmedAt is when the rows in force were last confirmed as current; nil
	// if they never were.
	rowsConfirmedAt atomic.Pointer[time.Time]
	// freshness knows until when the rows in force here are known to be the current ones.
	freshness *freshness.Confirmer
	// announceNow triggers an announcement before the end of the interval.
	announceNow chan struct{}
}

// New checks the settings and creates an entry.
func New(s *Settings, l log.Logger) (*Entry, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	sec, certs, err := transport.NewSecurity(s.ClusterSecret, s.TLS)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		settings: s, log: kernel.PartLog(l, "entry"), sec: sec,
		srv:          transport.NewServer(sec),
		pool:         transport.NewPool(sec),
		signer:       refusal.NewTokenSigner(sec.Secret),
		metrics:      metrics.NewRegistry(),
		incarnation:  directory.NewIncarnation(s.ID, s.Now()),
		started:      s.Now(),
		announceNow:  make(chan struct{}, 1),
		drainStarted: make(chan struct{}),
		drained:      make(chan struct{}),
		runner: admit.NewRunner(admit.Settings{
			Slots: s.Slots, Reserved: admit.ReservedSlots(s.Slots, s.UrgentPercent), MaxQueue: s.MaxQueue,
		}, s.Now),
	}
	e.pool.SetDial(s.Dial)
	e.freshness = freshness.NewConfirmer(s.RowsMaxAge.D(), s.Now, e.askRevision)
	e.answers = metrics.GetOrRegisterCounter("entry.answers", e.metrics)
	if certs != nil {
		e.certs = append(e.certs, certs)
	}
	if e.callersTLS, err = e.publicTLS(s.CallersTLS); err != nil {
		return nil, err
	}
	if e.operatorsTLS, err = e.publicTLS(s.OperatorsTLS); err != nil {
		return nil, err
	}
	info := route.EntryInfo{ID: s.ID, FailureDomain: s.FailureDomain, Seed: xxhash.Sum64String(s.ID)}
	e.fwd = forward.New(e.pool, info, s.Now)
	e.node = directory.NewNode(directory.DefaultSettings(), s.Now, e.updateRouting)
	e.controlTargets = directory.NewTargets(s.ID, s.FailureDomain, s.replicas())
	e.announcer = directory.NewAnnouncer(e.controlTargets, e.pool.Conn, s.Now)
	e.agentWatches = newAgentWatches(e)
	e.node.SetProbe(e.agentWatches.requestReport)
	e.teamLimits = newTeamLimits(e)
	e.requestMemory = memory.NewBudget(s.MaxBodyMemory, s.MaxBodyMemory*int64(s.UrgentPercent)/100)
	e.srv.SetMaxStrangers(s.Host.Strangers())
	e.claims = claim.NewNode(claim.DefaultRegisterSettings(), e.incarnation, e.pool.Conn, s.Now)
	e.quarantine = quarantine.NewNode(s.ID, e.log, s.Now, e.pool.Conn)
	e.dumps.Add("claims", e.claims.Dump)
	e.dumps.Add("quarantine", e.quarantine.Dump)
	if err := wire.DRPCRegisterClaim(e.srv.Mux, e.claims); err != nil {
		return nil, err
	}
	e.dumps.Add("entry", e.dump)
	e.dumps.Add("limits", e.teamLimits.dump)
	e.registerGauges()
	e.dumps.Add("directory", e.node.Dump)
	e.dumps.Add("route", e.fwd.Dump)
	e.controlClient = control.NewClient(e.pool, s.replicas(), s.ID)
	if e.operatorAPI, err = operators.New(s.Operator, e.controlClient, systemView{e}, e.metrics, l); err != nil {
		return nil, err
	}
	if err := e.newControl(l); err != nil {
		return nil, err
	}
	if err := e.dumps.Register(e.srv.Mux); err != nil {
		return nil, err
	}
	if err := wire.DRPCRegisterEntry(e.srv.Mux, drainService{e}); err != nil {
		return nil, err
	}
	if e.control != nil {
		return e, wire.DRPCRegisterDirectory(e.srv.Mux, control.NewDirectoryService(e.node, e.control))
	}
	return e, wire.DRPCRegisterDirectory(e.srv.Mux, e.node)
}

// publicTLS loads the certificate of an HTTP address. It returns nil if TLS is off.
func (e *Entry) publicTLS(s transport.TLSSettings) (*tls.Config, error) {
	if !s.Enabled() {
		return nil, nil
	}
	certs, err := transport.LoadCertificates(s)
	if err != nil {
		return nil, err
	}
	e.certs = append(e.certs, certs)
	return certs.ServerConfig(), nil
}

func (e *Entry) newControl(l log.Logger) error {
	if e.settings.Control == nil {
		return nil
	}
	c, err := control.New(*e.settings.Control, l, e.pool)
	if err != nil {
		return err
	}
	e.control = c
	c.RegisterMetrics(e.metrics)
	c.SetEntrySource(e.ringMembers)
	e.node.SetReplicas(c.DirectoryReplicas)
	c.SetUpstreamSource(control.UpstreamLister(e.node))
	e.dumps.Add("control", c.Dump)
	return c.Register(e.srv.Mux)
}

// SetView puts rows in force. It ignores a view whose revision isn't above the one in
// force, which would restore old rows.
func (e *Entry) SetView(v *table.View) {
	var old *table.View
	for {
		old = e.view.Load()
		if old != nil && old.Revision >= v.Revision {
			return
		}
		if e.view.CompareAndSwap(old, v) {
			break
		}
	}
	// Balancers and agent watches depend on pools and evacuations only. Skipping other
	// edits, such as of a team's limit, saves a pass over thousands of upstreams.
	if old == nil || !maps.Equal(old.Pools, v.Pools) || !maps.Equal(old.Evacuated, v.Evacuated) {
		e.updateRouting()
	}
	select {
	case e.announceNow <- struct{}{}:
	default:
	}
}

// updateRouting passes the upstreams that are up to the balancers of their pools and
// updates the watches of their agents.
func (e *Entry) updateRouting() {
	v := e.view.Load()
	if v == nil || e.fwd == nil || e.node == nil {
		return
	}
	byPool := map[string][]route.Upstream{}
	instances := e.node.Instances(wire.Role_ROLE_UPSTREAM)
	for _, i := range instances {
		if !i.Up() || v.Evacuated[i.FailureDomain] {
			continue
		}
		up := route.Upstream{
			ID: i.Id, Incarnation: i.Incarnation, Address: i.Address,
			FailureDomain: i.FailureDomain, Load: i.Load,
		}
		for _, p := range i.Pools {
			byPool[p] = append(byPool[p], up)
		}
	}
	routed := routedUpstreams{}
	for name, p := range v.Pools {
		// Of a large pool, the entry uses and watches only a subset.
		ups := route.Subset(e.settings.ID, byPool[name], route.MaxCandidates)
		for _, u := range ups {
			routed.add(u.ID, p)
		}
		if err := e.fwd.Update(p, ups); err != nil {
			kernel.Warn(e.log, "Routing of a pool can't be updated.", "pool", name, "err", err)
		}
	}
	e.agentWatches.update(instances, routed)
}

// Start implements kernel.Daemon.
func (e *Entry) Start(ctx context.Context) error {
	ctx, e.cancel = context.WithCancel(ctx)
	e.agentWatches.start(ctx)
	if err := e.listen(); err != nil {
		return err
	}
	if err := e.openClaims(); err != nil {
		return err
	}
	go e.srv.Serve(ctx, e.internalListener)
	if e.control != nil {
		info := control.ReplicaInfo{Name: e.settings.ID, Address: e.InternalAddress(), FailureDomain: e.settings.FailureDomain}
		if err := e.control.Start(ctx, info); err != nil {
			return err
		}
	}
	go e.followTable(ctx)
	go e.quarantine.Run(ctx, e.settings.replicas)
	go e.claims.Run(ctx)
	go e.teamLimits.run(ctx)
	go e.drainCallers(ctx)
	go e.node.Run(ctx)
	go e.announceLoop(ctx)
	e.followDirectory(ctx)
	e.serveHTTP()
	kernel.Info(e.log, "Listening.", "id", e.settings.ID, "callers", e.callerListener.Addr(), "internal", e.internalListener.Addr())
	return nil
}

// serveHTTP serves callers, and operators if they have an address.
func (e *Entry) serveHTTP() {
	count := func(name string) { metrics.GetOrRegisterCounter(name, e.metrics).Inc(1) }
	callers := httpserver.DefaultLimits()
	callers.HeaderTimeout, callers.IdleTimeout = callerHeadTimeout, e.settings.IdleTimeout.D()
	e.callerServer = httpserver.New(httpserver.Options{
		Name: "callers", Metrics: clientMetrics, Handler: e.callerRoutes(), Log: e.log, Budget: e.requestMemory, Count: count, TLS: e.callersTLS,
		MaxConnections: e.settings.Host.ClientConnections(), Limits: func() httpserver.Limits { return callers },
	})
	go e.callerServer.Serve(e.callerListener)
	if e.operatorListener == nil {
		return
	}
	e.operatorServer = httpserver.New(httpserver.Options{
		Name: "operators", Metrics: clientMetrics, Handler: e.operatorRoutes(), Log: e.log, Budget: e.requestMemory, Count: count, TLS: e.operatorsTLS,
		MaxConnections: e.settings.Host.OperatorConnections(),
	})
	go e.operatorServer.Serve(e.operatorListener)
}

func (e *Entry) listen() error {
	var err error
	e.internalListener = e.settings.InternalListener
	if e.internalListener == nil {
		e.internalListener, err = net.Listen("tcp", e.settings.Internal)
	}
	if err != nil {
		return merry.Prepend(ErrStart, err.Error())
	}
	if e.callerListener, err = net.Listen("tcp", e.settings.Callers); err != nil {
		return merry.Prepend(ErrStart, err.Error())
	}
	if e.settings.Operators == "" {
		return nil
	}
	if e.operatorListener, err = net.Listen("tcp", e.settings.Operators); err != nil {
		return merry.Prepend(ErrStart, err.Error())
	}
	return nil
}

// CallerAddress returns the HTTP address for callers.
func (e *Entry) CallerAddress() string {
	if e.settings.CallersAdvertise != "" {
		return e.settings.CallersAdvertise
	}
	return e.callerListener.Addr().String()
}

// InternalAddress returns the drpc address.
func (e *Entry) InternalAddress() string {
	if e.settings.InternalAdvertise != "" {
		return e.settings.InternalAdvertise
	}
	return e.internalListener.Addr().String()
}

// OperatorAddress returns the HTTP address for operators, or "" if there is none.
func (e *Entry) OperatorAddress() string {
	if e.operatorListener == nil {
		return ""
	}
	return e.operatorListener.Addr().String()
}

// Stop implements kernel.Daemon. It returns the number of requests that it aborted.
func (e *Entry) Stop() int {
	aborted := int(e.requests.Load())
	if e.cancel != nil {
		e.cancel()
	}
	for _, h := range []*httpserver.Server{e.callerServer, e.operatorServer} {
		if h != nil {
			_ = h.Close()
		}
	}
	for _, l := range []net.Listener{e.internalListener, e.callerListener, e.operatorListener} {
		if l != nil {
			_ = l.Close()
		}
	}
	if e.control != nil {
		e.control.Stop()
	}
	e.srv.Close()
	e.pool.Close()
	e.claims.Close()
	return aborted
}

// Reload implements kernel.Reloader.
func (e *Entry) Reload() error {
	for _, c := range e.certs {
		if err := c.Reload(); err != nil {
			return err
		}
	}
	return nil
}

type entryDump struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	Draining    bool   `json:"draining"`
	Requests    int64  `json:"requests_in_progress"`
	Waiting     int    `json:"waiting"`
	Revision    uint64 `json:"revision"`
}

func (e *Entry) dump() any {
	_, waiting := e.runner.Counts()
	d := entryDump{
		ID: e.settings.ID, Incarnation: e.incarnation.Number(), Draining: e.draining.Load(),
		Requests: e.requests.Load(), Waiting: waiting, Revision: e.Revision(),
	}
	return d
}

// UpstreamCounts returns the number of upstreams that are up by pool, as known to this entry.
func (e *Entry) UpstreamCounts() map[string]int {
	n := map[string]int{}
	for _, i := range e.node.Instances(wire.Role_ROLE_UPSTREAM) {
		if !i.Up() {
			continue
		}
		for _, p := range i.Pools {
			n[p]++
		}
	}
	return n
}
