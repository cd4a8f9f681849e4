// Package agent implements the process that runs beside each upstream. It announces the
// upstream to the control replicas, queues requests for it, runs each attempt at most
// once, and relays the upstream's load, cache events and orders. It reports an attempt as
// not run only if the upstream certainly did not run it.
package agent

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/snipereach/snipereach/admit"
	"github.com/snipereach/snipereach/control"
	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/httpserver"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/memory"
	"github.com/snipereach/snipereach/refusal"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/upstream"
	"github.com/snipereach/snipereach/wire"
)

var (
	// ErrStart is returned if the agent cannot open a listener.
	ErrStart = merry.Sentinel("agent cannot start")
	// ErrOrderRefused is returned if the upstream or the fencing guard refuses an order.
	ErrOrderRefused = merry.Sentinel("order was not carried out")
)

// Agent implements kernel.Daemon.
type Agent struct {
	settings       *Settings
	log            log.Logger
	upstream       upstream.Upstream
	sec            transport.Security
	certs          *transport.Certificates
	srv            *transport.Server
	pool           *transport.Pool
	lis            net.Listener
	operatorServer *httpserver.Server
	runner         *admit.Runner
	queue          currentQueueConfig
	attempts       *attemptRegistry
	tickets        *ticketRegistry
	orders         *orderFence
	incarnation    *directory.Incarnation
	generations    upstreamGenerations
	seq            atomic.Uint64
	metrics        metrics.Registry
	doneAttempts   metrics.Counter
	dumps          kernel.Dumps
	cancel         context.CancelFunc
	announcer      *directory.Announcer
	load           atomic.Pointer[wire.Load]
	cache          cacheEventSource
	loadMu         sync.Mutex
	loadSeq        uint64
}

// New creates an agent. It returns an error if the settings are invalid.
func New(s *Settings, l log.Logger) (*Agent, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	sec, certs, err := transport.NewSecurity(s.ClusterSecret, s.TLS)
	if err != nil {
		return nil, err
	}
	up, err := upstream.New(s.Kind, s.Upstream)
	if err != nil {
		return nil, err
	}
	a := &Agent{
		settings: s, log: kernel.PartLog(l, "agent"), upstream: up, sec: sec, certs: certs,
		pool:        transport.NewPool(sec),
		srv:         transport.NewServer(sec),
		runner:      admit.NewRunner(initialQueueConfig(s).admitSettings(), s.Now),
		metrics:     metrics.NewRegistry(),
		incarnation: directory.NewIncarnation(s.ID, s.Now()),
		attempts:    newAttemptRegistry(),
	}
	a.srv.SetMaxStrangers(s.Host.Strangers())
	a.tickets = newTicketRegistry(a.runner, time.AfterFunc)
	a.pool.SetDial(s.Dial)
	a.cache.fetch = up.Cache
	a.announcer = directory.NewAnnouncer(directory.NewTargets(s.ID, s.FailureDomain, s.AnnounceTo), a.pool.Conn, s.Now)
	a.queue.config = initialQueueConfig(s)
	a.doneAttempts = metrics.GetOrRegisterCounter("agent.attempts."+refusal.OutcomeName(wire.Outcome_OUTCOME_DONE), a.metrics)
	a.orders = newOrderFence(control.NewClient(a.pool, s.AnnounceTo, s.ID))
	a.dumps.Add("agent", a.dump)
	a.registerGauges()
	if err := a.dumps.Register(a.srv.Mux); err != nil {
		return nil, err
	}
	return a, wire.DRPCRegisterAgent(a.srv.Mux, service{a})
}

// Start implements kernel.Daemon.
func (a *Agent) Start(ctx context.Context) error {
	lis, err := net.Listen("tcp", a.settings.Listen)
	if err != nil {
		return merry.Prepend(ErrStart, err.Error())
	}
	a.lis = lis
	ctx, a.cancel = context.WithCancel(ctx)
	go a.srv.Serve(ctx, lis)
	go a.pollLoad(ctx)
	go a.announceLoop(ctx)
	go a.resolveSwitchLoop(ctx)
	kernel.Info(a.log, "Listening.", "id", a.settings.ID, "addr", lis.Addr(), "kind", a.upstream.Kind())
	return a.serveOperators()
}

func (a *Agent) serveOperators() error {
	if a.settings.Operators == "" {
		return nil
	}
	lis, err := net.Listen("tcp", a.settings.Operators)
	if err != nil {
		return merry.Prepend(ErrStart, err.Error())
	}
	mux := http.NewServeMux()
	mux.Handle("/debug/state", &a.dumps)
	mux.Handle("/metrics", kernel.MetricsHandler(a.metrics))
	count := func(name string) { metrics.GetOrRegisterCounter(name, a.metrics).Inc(1) }
	a.operatorServer = httpserver.New(httpserver.Options{
		Name: "operators", Metrics: "agent.clients.", Handler: mux, Log: a.log, Budget: memory.NewBudget(a.settings.Host.RequestBytes(), 0),
		MaxConnections: a.settings.Host.OperatorConnections(), Count: count,
	})
	go a.operatorServer.Serve(lis)
	return nil
}

// Address returns the drpc address that the agent listens on.
func (a *Agent) Address() string {
	if a.settings.Advertise != "" {
		return a.settings.Advertise
	}
	return a.lis.Addr().String()
}

// Slots returns the current concurrency limit, in requests.
func (a *Agent) Slots() int { return a.queue.get().Slots }

// Leave refuses new attempts and tickets from now on and announces the leaving phase to
// the control replicas.
func (a *Agent) Leave(ctx context.Context) {
	if a.attempts.close() {
		kernel.Info(a.log, "Drain started. New attempts are refused.")
	}
	a.tickets.close()
	a.announceAll(ctx, wire.Phase_PHASE_LEAVING)
}

// Drain implements kernel.Daemon. It waits until nothing is running or queued, and refuses
// new attempts for at least the leave margin, within which entries learn that the upstream
// leaves. An attempt that arrives on a closed connection would have an unknown outcome,
// and an unsafe request must not be retried after that; a refused attempt can go to
// another upstream.
func (a *Agent) Drain(ctx context.Context) error {
	a.Leave(ctx)
	began := time.Now()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		running, waiting := a.runner.Counts()
		idle := running+waiting == 0 && a.attempts.runningCount() == 0
		if idle && time.Since(began) >= a.settings.LeaveMargin.D() {
			a.announceAll(ctx, wire.Phase_PHASE_GONE)
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// Stop implements kernel.Daemon.
func (a *Agent) Stop() int {
	active := a.attempts.runningCount()
	if a.cancel != nil {
		a.cancel()
	}
	if a.lis != nil {
		_ = a.lis.Close()
	}
	if a.operatorServer != nil {
		_ = a.operatorServer.Close()
	}
	a.srv.Close()
	a.pool.Close()
	a.upstream.Close()
	return active
}

// Reload implements kernel.Reloader.
func (a *Agent) Reload() error {
	if a.certs == nil {
		return nil
	}
	return a.certs.Reload()
}

type agentDump struct {
	ID               string `json:"id"`
	Incarnation      uint64 `json:"incarnation"`
	Leaving          bool   `json:"leaving"`
	Running          int    `json:"running"`
	Waiting          int    `json:"waiting"`
	RetainedAttempts int    `json:"remembered_attempts"`
	// Tickets counts the tickets that wait for a slot; HeldSlots counts the slots that are
	// held for a ticket and not yet claimed.
	Tickets   int `json:"tickets"`
	HeldSlots int `json:"held_slots"`
	// Queue is the configuration in force: from the settings until a pool row is received.
	Queue queueConfig `json:"queue"`
	Load  *wire.Load  `json:"load"`
}

func (a *Agent) dump() any {
	running, waiting := a.runner.Counts()
	tickets, held := a.tickets.counts()
	return agentDump{
		Tickets: tickets, HeldSlots: held,
		ID: a.settings.ID, Incarnation: a.incarnation.Number(), Leaving: a.attempts.isClosed(),
		Running: running, Waiting: waiting, RetainedAttempts: a.attempts.retainedCount(), Queue: a.queue.get(), Load: a.load.Load(),
	}
}
