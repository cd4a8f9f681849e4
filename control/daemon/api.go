package daemon

import (
	"cmp"
	"context"
	"net/http"
	"sort"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kit/log"
	"github.com/gorilla/mux"

	"github.com/snipereach/snipereach/control"
	"github.com/snipereach/snipereach/dialect"
	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/httpserver"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/memory"
	"github.com/snipereach/snipereach/routing"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

// APISettings are the [api] section of snipereach-control: the HTTP API for operators, for
// upstreams without an agent and for callers that discover entries.
type APISettings struct {
	// Listen is the address for operators and upstreams.
	Listen string `toml:"listen"`
	// Discovery is the address for callers; it may equal Listen.
	Discovery string `toml:"discovery_listen"`
	// Dialect names the plug-in that defines the paths and formats of the API.
	Dialect string `toml:"dialect"`
	// EntryListTTL is how long a caller may cache the list of entries.
	EntryListTTL kernel.Duration `toml:"keep"`
	// Lease is how long a registration lasts unless it is repeated.
	Lease kernel.Duration `toml:"registration_lease"`
}

// clientMetrics is the prefix of the counters of clients that are refused.
const clientMetrics = "control.clients."

// Bounds of the API.
const (
	// maxConfigBytes bounds the body with a routing configuration.
	maxConfigBytes = 8 << 20
	// routingRequestTimeout bounds a write or read of the routing configuration. It is shorter
	// than the second after which operators try another replica.
	routingRequestTimeout = 900 * time.Millisecond
	// maxEntriesListed bounds the number of entries in a discovery response.
	maxEntriesListed = 64
	// apiBodyTimeout bounds the time to read a body. A configuration of maxConfigBytes takes less on any link
	// on which it is sent in time.
	apiBodyTimeout = 10 * time.Second
)

// Check returns an error that names the first invalid key.
func (s *APISettings) Check() error {
	switch {
	case s.Dialect == "":
		return kernel.InvalidKey("api.dialect", "must not be empty")
	case s.EntryListTTL <= 0:
		return kernel.InvalidKey("api.keep", "must be positive")
	case s.Lease <= 0:
		return kernel.InvalidKey("api.registration_lease", "must be positive")
	}
	return cmp.Or(kernel.CheckAddress("api.listen", s.Listen), kernel.CheckAddress("api.discovery_listen", s.Discovery))
}

// api is the HTTP API of a control replica.
type api struct {
	settings APISettings
	dialect  dialect.Dialect
	control  *control.Control
	node     *directory.Node
	pool     *transport.Pool
	log      log.Logger
	// rejectionLogLimiter bounds the log records about rejected registrations.
	rejectionLogLimiter *kernel.LogLimiter
	servers             []*httpserver.Server
	// requestMemory bounds what is held of requests.
	requestMemory *memory.Budget
	// connections is how many connections each listener keeps open.
	connections int
}

// newAPI returns the API of a daemon.
func newAPI(daemon *Daemon, now func() time.Time, l log.Logger) (*api, error) {
	s := *daemon.settings.API
	d, err := dialect.ByName(s.Dialect)
	if err != nil {
		return nil, err
	}
	// Half of the connections each: callers that discover entries can't take those of upstreams and operators.
	connections := daemon.settings.Host.ClientConnections() / 2
	return &api{requestMemory: daemon.requestMemory, connections: connections, settings: s, dialect: d, control: daemon.control, node: daemon.node, pool: daemon.pool, log: kernel.PartLog(l, "api"), rejectionLogLimiter: kernel.NewLogLimiter(maxRejectionLogsPerSecond, now)}, nil
}

// start listens at the API's addresses and serves in the background.
func (a *api) start() error {
	if err := a.serve("api", a.settings.Listen, a.handler()); err != nil {
		return err
	}
	if a.settings.Discovery == a.settings.Listen {
		return nil
	}
	return a.serve("discovery", a.settings.Discovery, a.discoveryHandler())
}

func (a *api) serve(name, addr string, h http.Handler) error {
	lis, err := transport.Listen(context.Background(), addr)
	if err != nil {
		return merry.Prepend(ErrStart, err.Error())
	}
	srv := httpserver.New(httpserver.Options{
		Name: name, Handler: h, Log: a.log, Budget: a.requestMemory, MaxConnections: a.connections, Metrics: clientMetrics, Count: a.control.Metrics().Count, EncodeError: a.dialect.EncodeError,
	})
	a.servers = append(a.servers, srv)
	go srv.Serve(lis)
	return nil
}

func (a *api) stop() {
	for _, s := range a.servers {
		_ = s.Close()
	}
}

func (a *api) discoveryHandler() http.Handler {
	r := mux.NewRouter()
	calls := a.dialect.Calls()
	r.HandleFunc(calls.Resolve.Path, a.resolve).Methods(calls.Resolve.Method)
	return r
}

func (a *api) handler() http.Handler {
	r := mux.NewRouter()
	calls := a.dialect.Calls()
	for _, c := range []struct {
		call   dialect.Call
		handle http.HandlerFunc
	}{
		{calls.Resolve, a.resolve},
		{calls.Register, a.register},
		{calls.Deregister, a.deregister},
		{calls.PutRouting, a.putRouting},
		{calls.GetRouting, a.getRouting},
		{calls.Evacuate, a.evacuate},
		{calls.Restore, a.restore},
	} {
		r.HandleFunc(c.call.Path, c.handle).Methods(c.call.Method)
	}
	return r
}

func (a *api) writeJSON(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (a *api) writeError(w http.ResponseWriter, status int, detail string) {
	a.writeJSON(w, status, a.dialect.EncodeError(detail))
}

// readBody reads a request's body. If it can't, it answers with an error and returns false.
func (a *api) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	body, err := httpserver.ReadBody(w, r, httpserver.BodyLimits{Bytes: limit, Deadline: time.Now().Add(apiBodyTimeout)})
	if err == nil {
		return body, true
	}
	a.writeError(w, httpserver.BodyStatus(err), err.Error())
	return nil, false
}

// putRouting sets the routing configuration. It answers 200 once the configuration, or one
// with the same or a higher version, is durable, 4xx if the body is invalid or too large, and
// 503 if the configuration could not be confirmed to be durable.
func (a *api) putRouting(w http.ResponseWriter, r *http.Request) {
	body, ok := a.readBody(w, r, maxConfigBytes)
	if !ok {
		return
	}
	c, err := a.dialect.DecodeRouting(body)
	if err == nil {
		err = routing.Check(c)
	}
	if err != nil {
		kernel.Info(a.log, "Routing configuration refused.", "version", c.GetVersion(), "err", err)
		a.writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), routingRequestTimeout)
	defer cancel()
	reply, err := a.control.PutRouting(ctx, c)
	if err != nil {
		a.writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if reply.Status == wire.PutRoutingStatus_PUT_ROUTING_STATUS_UNAVAILABLE {
		a.writeError(w, http.StatusServiceUnavailable, reply.Detail)
		return
	}
	a.writeJSON(w, http.StatusOK, []byte("{}"))
}

// getRouting answers with the newest committed configuration. It answers 404 if there is none
// and 503 if it can't be read from the leader.
func (a *api) getRouting(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), routingRequestTimeout)
	defer cancel()
	c, err := a.control.GetRouting(ctx)
	switch {
	case err != nil:
		a.writeError(w, http.StatusServiceUnavailable, err.Error())
	case c.Version == 0:
		a.writeError(w, http.StatusNotFound, "there is no configuration yet")
	default:
		a.writeJSON(w, http.StatusOK, c.Source)
	}
}

// resolve answers with the addresses of the ready entries.
func (a *api) resolve(w http.ResponseWriter, _ *http.Request) {
	list := a.readyEntryAddresses()
	if len(list) == 0 {
		a.writeError(w, http.StatusServiceUnavailable, "no entry is known to be ready")
		return
	}
	a.writeJSON(w, http.StatusOK, a.dialect.EncodeEntries(list, a.settings.EntryListTTL.D()))
}

func (a *api) readyEntryAddresses() []string {
	var list []string
	for _, i := range a.node.Instances(wire.Role_ROLE_ENTRY) {
		if i.Up() && i.Listed {
			list = append(list, i.CallerAddress)
		}
	}
	sort.Strings(list)
	return list[:min(len(list), maxEntriesListed)]
}
