package gateway

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kit/log"

	"github.com/snipereach/snipereach/backpressure"
	"github.com/snipereach/snipereach/dialect"
	"github.com/snipereach/snipereach/direct"
	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/evacuation"
	"github.com/snipereach/snipereach/freshness"
	"github.com/snipereach/snipereach/httpserver"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/memory"
	"github.com/snipereach/snipereach/quarantine"
	"github.com/snipereach/snipereach/quota"
	"github.com/snipereach/snipereach/retry"
	"github.com/snipereach/snipereach/routing"
	"github.com/snipereach/snipereach/teamshare"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

const (
	// upstreamDialTimeout bounds the opening of a connection to an upstream, in addition to the
	// deadline of the request. It leaves time for one TCP retransmission after a second.
	upstreamDialTimeout = 1200 * time.Millisecond
	// retryAfterNoConfig is the Retry-After before the first routing configuration.
	retryAfterNoConfig = 300 * time.Millisecond
	// retryAfterBusy is the default Retry-After of refused requests.
	retryAfterBusy = 500 * time.Millisecond
)

// Gateway serves the requests of callers. It implements kernel.Daemon.
type Gateway struct {
	settings    *Settings
	log         log.Logger
	dialect     dialect.Dialect
	now         func() time.Time
	certs       *transport.Certificates
	pool        *transport.Pool
	client      *direct.Client
	node        *directory.Node
	targets     *directory.Targets
	incarnation *directory.Incarnation
	services    *serviceManager
	movable     *movableAttempts
	fetches     *fetchGroup
	warmup      *warmup
	timeouts    *callerTimeouts
	retryBudget *retry.Budget
	requestLog  *requestLog
	metrics     *gatewayMetrics
	// stateLog has the log lines about the state of other processes.
	stateLog *kernel.LimitedLogger
	dumps    kernel.Dumps

	table    atomic.Pointer[routing.Table]
	draining atomic.Bool
	// drainBegan is when the gateway began to drain.
	drainBegan atomic.Pointer[time.Time]
	// requestMemory bounds what is held of requests, responseMemory what is buffered of responses.
	requestMemory  *memory.Budget
	responseMemory *direct.MemoryBudget
	// stopping ends when the requests in progress are aborted.
	stopping context.Context
	abort    context.CancelFunc
	active   atomic.Int64
	// lastRequestAt is when the last request arrived, in Unix nanoseconds of now.
	lastRequestAt atomic.Int64
	announceNow   chan struct{}
	seq           atomic.Uint64

	mu             sync.Mutex
	callerListener net.Listener
	servers        []*httpserver.Server
	cancel         context.CancelFunc
	// knownUpstreams are the upstreams at the last change of the directory, by ID.
	knownUpstreams map[string]*directory.Instance
	exits          exitDetector
	// lastPosition is the position at the last change of the directory.
	lastPosition atomic.Pointer[quota.Position]
	evacuations  evacuation.Tracker
	reports      versionReports
	// freshness knows until when the configuration in force here is known to be the current one.
	freshness    *freshness.Confirmer
	quarantine   *quarantine.Node
	backpressure *backpressure.Node
	rests        *backpressure.Rests
	// teamShares knows which teams ask for more than their share; nil if that is turned off.
	teamShares *teamshare.Node
	unreadable unreadableValues
}

// New creates a Gateway. It returns an error if the settings are invalid.
func New(s *Settings, l log.Logger) (*Gateway, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	d, err := dialect.ByName(s.Dialect)
	if err != nil {
		return nil, err
	}
	sec, certs, err := transport.NewSecurity(s.ClusterSecret, s.TLS)
	if err != nil {
		return nil, err
	}
	now := kernel.BootClock()
	g := &Gateway{
		settings: s, log: kernel.PartLog(l, "gateway"), dialect: d, now: now, certs: certs,
		pool:           transport.NewPool(sec),
		requestMemory:  memory.NewBudget(s.Host.RequestBytes(), 0),
		responseMemory: direct.NewMemoryBudget(s.Host.ResponseBytes()),
		client:         direct.NewClient(transport.NewDialer(upstreamDialTimeout).DialContext),
		incarnation:    directory.NewIncarnation(s.ID, now()), services: newServiceManager(s), movable: newMovableAttempts(), fetches: newFetchGroup(), warmup: newWarmup(now()), timeouts: newCallerTimeouts(),
		targets:     directory.NewTargets(s.ID, s.FailureDomain, s.Replicas).AllowNewReplicas(),
		announceNow: make(chan struct{}, 1),
	}
	g.pool.SetDial(s.Dial)
	g.freshness = freshness.NewConfirmer(s.RoutingMaxAge.D(), now, g.askReplicas)
	g.stopping, g.abort = context.WithCancel(context.Background())
	g.requestLog, g.metrics = newRequestLog(g.log, now), newGatewayMetrics()
	g.stateLog = kernel.NewLimitedLogger(g.log, stateLogLines, now)
	g.quarantine = quarantine.NewNode(s.ID, g.log, now, g.pool.Conn)
	g.rests = backpressure.NewRests(now)
	g.backpressure = backpressure.NewNode(backpressure.Options{
		Rests: g.rests, ID: s.ID, Log: g.log, Now: now, Metrics: g.metrics.Metrics, Dial: g.pool.Conn, Replicas: g.targets.Addresses,
	})
	if s.Admission.TeamShares {
		g.teamShares = teamshare.NewNode(teamshare.Options{
			ID: s.ID, Log: g.log, Now: now, Metrics: g.metrics.Metrics, Dial: g.pool.Conn, Replicas: g.targets.Addresses, Gateways: g.gatewayCount,
		})
	}
	g.services.onStateChange, g.services.onPasses, g.services.gateways = g.logStateChange, g.logPasses, g.gatewayCount
	g.services.restraints, g.services.onHeldBack = g.restraints, g.countHeldBack
	g.services.silent = newSilentUpstreams(g)
	g.metrics.register(g)
	g.node = directory.NewNode(directorySettings(), now, g.directoryChanged)
	g.retryBudget = retry.NewBudget(s.Retries.allowance(), g.lastKnownPosition, g.borrowRetry, now)
	g.dumps.Add("directory", g.node.Dump)
	g.dumps.Add("gateway", g.dump)
	g.dumps.Add("quarantine", g.quarantine.Dump)
	g.dumps.Add("backpressure", g.backpressure.Dump)
	g.dumps.Add("team-shares", g.teamShares.Dump)
	return g, nil
}

// directorySettings lets the gateway go on with the upstreams it knows while no control replica
// responds.
func directorySettings() directory.Settings {
	s := directory.DefaultSettings()
	s.SourceLossGrace = 10 * time.Minute
	return s
}

// Start implements kernel.Daemon.
func (g *Gateway) Start(ctx context.Context) error {
	ctx, g.cancel = context.WithCancel(ctx)
	var err error
	if g.callerListener, err = transport.Listen(ctx, g.settings.Listen); err != nil {
		return merry.Prepend(ErrStart, err.Error())
	}
	ready, err := transport.Listen(ctx, g.settings.Ready)
	if err != nil {
		return merry.Prepend(ErrStart, err.Error())
	}
	g.serve(g.callerListener, httpserver.Options{Name: "callers", Handler: g, MaxConnections: g.settings.Host.ClientConnections(), Limits: g.httpLimits, Allows: g.allowsHead})
	g.serve(ready, httpserver.Options{Name: "ready", Handler: g.readiness(), MaxConnections: g.settings.Host.OperatorConnections()})
	if err := g.startMetrics(ctx); err != nil {
		return err
	}
	go g.node.Run(ctx)
	g.node.FollowAll(ctx, g.targets, g.pool.Conn, g.settings.ID)
	go g.followRouting(ctx)
	go g.followSurveys(ctx)
	go g.quarantine.Run(ctx, g.targets.Addresses)
	go g.backpressure.Run(ctx)
	go g.teamShares.Run(ctx)
	go g.services.silent.run(ctx, g.targets.Addresses)
	go g.announceLoop(ctx)
	kernel.Info(g.log, "Started.", "id", g.settings.ID, "failure_domain", g.settings.FailureDomain, "addr", g.callerListener.Addr(), "version", kernel.Version)
	return nil
}

// serve serves a listener within the bounds of the process.
func (g *Gateway) serve(lis net.Listener, o httpserver.Options) {
	o.Log, o.Budget, o.EncodeError = g.log, g.requestMemory, g.dialect.EncodeError
	o.Metrics, o.Count = "gateway.clients.", g.metrics.Count
	srv := httpserver.New(o)
	g.mu.Lock()
	g.servers = append(g.servers, srv)
	g.mu.Unlock()
	go srv.Serve(lis)
}

// CallerAddress returns the address of the listener for callers.
func (g *Gateway) CallerAddress() string { return g.callerListener.Addr().String() }

// ready reports whether the gateway accepts requests: it has a configuration and isn't draining.
func (g *Gateway) ready() bool { return g.table.Load() != nil && !g.draining.Load() }

func (g *Gateway) readiness() http.Handler {
	call := g.dialect.Calls().Ready
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path != call.Path || r.Method != call.Method:
			w.WriteHeader(http.StatusNotFound)
		case !g.ready():
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			w.WriteHeader(http.StatusOK)
		}
	})
}

// gatewayCount returns the number of instances that are up with the role of entry, at least 1 for
// this one.
func (g *Gateway) gatewayCount() int {
	return max(len(g.node.Instances(wire.Role_ROLE_ENTRY)), 1)
}

// position returns the index of this gateway among those that are up, ordered by ID, and their number.
// It looks at all instances.
func (g *Gateway) position() quota.Position {
	known := g.node.Instances(wire.Role_ROLE_ENTRY)
	p := quota.Position{Count: max(len(known), 1)}
	for _, i := range known {
		if i.Id < g.settings.ID {
			p.Index++
		}
	}
	return p
}

// directoryChanged applies a change of the known upstreams.
func (g *Gateway) directoryChanged() {
	known := g.node.Instances(wire.Role_ROLE_UPSTREAM)
	g.logUpstreams(known)
	if err := g.services.update(time.Now(), known, g.updateInputs()); err != nil {
		kernel.Warn(g.log, "Updating the upstreams failed.", "err", err)
	}
	g.resolvePendingExits(known)
	g.forgetGone(known)
	g.client.CloseIdleExcept(g.services.addresses())
	g.warmup.notify()
}

// updateInputs returns what else than the upstreams themselves decides on which of them are used.
func (g *Gateway) updateInputs() updateInputs {
	p := g.position()
	g.lastPosition.Store(&p)
	return updateInputs{evacuations: g.evacuations.Current(), position: p, heardNow: g.now()}
}

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	began := time.Now()
	g.lastRequestAt.Store(int64(g.now().UnixNano()))
	c, f := g.prepare(w, r, began)
	if f == nil {
		f = c.quarantineRefusal()
	}
	if f != nil {
		c.refuseAndEnd(f)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	defer context.AfterFunc(g.stopping, cancel)()
	c.ctx = ctx
	a := c.acquire()
	c.waited = a.waited
	g.metrics.recordQueued(c)
	if !a.ok {
		c.cause = a.cause
		c.refuseUnadmitted(a)
		return
	}
	admittedAt := time.Now()
	c.group = a.group
	defer func() { g.services.release(c.group, time.Since(admittedAt)) }()
	if f := c.beginTrial(); f != nil {
		c.refuseAndEnd(f)
		return
	}
	defer c.guard.Done()
	g.retryBudget.RecordRequest(c.service)
	if c.route.Kind == wire.RouteKind_ROUTE_KIND_STREAMING {
		c.serveStream()
		return
	}
	c.serveBuffered()
}

// refuseAndEnd writes a refusal and ends the request.
func (c *call) refuseAndEnd(f *refusal) {
	c.writeRefusal(c.w, *f)
	c.finish(f.status, f.reason, nil)
}

// writeRefusal writes a response by the gateway itself.
func (g *Gateway) writeRefusal(w http.ResponseWriter, f refusal) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if f.status == http.StatusServiceUnavailable {
		wait := cmp.Or(f.retryAfter, retryAfterBusy)
		if f.reason == reasonNoConfig {
			wait = retryAfterNoConfig
		}
		h.Set("Retry-After", retryAfterSeconds(wait))
	}
	if g.draining.Load() {
		h.Set("Connection", "close")
	}
	w.WriteHeader(f.status)
	// A write error means that the caller has left; there is nothing to do then.
	_, _ = w.Write(g.dialect.EncodeError(f.reason))
}

// closeIfDraining tells the caller to open its next connection elsewhere.
func (c *call) closeIfDraining() {
	if c.draining.Load() {
		c.w.Header().Set("Connection", "close")
	}
}

// startMetrics serves the metrics and the state dump, if they have an address.
func (g *Gateway) startMetrics(ctx context.Context) error {
	if g.settings.Metrics == "" {
		return nil
	}
	lis, err := transport.Listen(ctx, g.settings.Metrics)
	if err != nil {
		return merry.Prepend(ErrStart, err.Error())
	}
	mux := http.NewServeMux()
	mux.Handle("/debug/state", &g.dumps)
	mux.Handle("/metrics", kernel.MetricsHandler(g.metrics.Registry))
	mux.Handle("/metrics.txt", g.metrics)
	g.serve(lis, httpserver.Options{Name: "metrics", Handler: mux, MaxConnections: g.settings.Host.OperatorConnections()})
	return nil
}

// routingVersion returns the version of the configuration in force; 0 before the first one.
func (g *Gateway) routingVersion() uint64 {
	if t := g.table.Load(); t != nil {
		return t.Config.Version
	}
	return 0
}

func (g *Gateway) dump() any {
	return struct {
		Ready    bool     `json:"ready"`
		Draining bool     `json:"draining"`
		Version  uint64   `json:"routing_version"`
		Active   int64    `json:"active"`
		Opened   uint64   `json:"connections_opened"`
		Replicas []string `json:"replicas"`
	}{g.ready(), g.draining.Load(), g.routingVersion(), g.active.Load(), g.client.Opened(), g.targets.Addresses()}
}

// Stop implements kernel.Daemon.
func (g *Gateway) Stop() int {
	if g.cancel != nil {
		g.cancel()
	}
	cut := int(g.active.Load())
	g.mu.Lock()
	for _, s := range g.servers {
		_ = s.Close()
	}
	g.mu.Unlock()
	g.client.Close()
	g.pool.Close()
	return cut
}
