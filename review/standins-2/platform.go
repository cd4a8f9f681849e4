//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func newHTTPClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true,
	}}
}

// operator sends configurations as the pages say: to any control machine, again until it is answered.
type operator struct {
	s    *system
	http *http.Client
}

func (o *operator) controlURL(m *machine, path string) string {
	return fmt.Sprintf("http://%s:%d%s", m.ip, o.s.ports.control, path)
}

// put sends a configuration until one machine acknowledges it.
func (o *operator) put(version int, body []byte, limit time.Duration) error {
	until := time.Now().Add(limit)
	for n := rand.IntN(len(o.s.controls)); time.Now().Before(until); n++ {
		m := o.s.controls[n%len(o.s.controls)]
		status, _, err := o.call(http.MethodPut, o.controlURL(m, "/configuration"), body)
		if err == nil && status == http.StatusOK {
			o.s.rec.log("configuration %d acknowledged by %s", version, m.name)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("configuration %d not acknowledged within %v", version, limit)
}

func (o *operator) call(method, url string, body []byte) (int, []byte, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := o.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// route is a route of a configuration.
type route struct {
	Name, Host, Prefix, Kind, Service string
	TimeoutMS, MaxAttempts            int
	Resume                            bool
}

// configuration returns the JSON of a configuration with one key.
func configuration(version int, routes []route, services []string, key string) []byte {
	var rs, ss []any
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"name": r.Name, "host": r.Host, "pathPrefix": r.Prefix, "kind": r.Kind, "timeoutMs": r.TimeoutMS, "targetLatencyMs": 100,
			"priority": 2, "service": r.Service, "maxAttempts": r.MaxAttempts, "allowAnonymous": false, "resumeStreams": r.Resume,
		})
	}
	for _, name := range services {
		ss = append(ss, map[string]any{"name": name, "healthCheckPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false})
	}
	data, _ := json.Marshal(map[string]any{
		"version": version, "routes": rs, "services": ss,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "t1", "apiKeys": []string{key}, "priority": 1}},
	})
	return data
}

// run is one request that a server began to work on, or that reached it.
type arrival struct {
	id      string
	at      time.Time
	gateway string
}

// server is a sound server of a plain service.
type server struct {
	s                 *system
	id, service, addr string
	zone              string
	work              time.Duration
	lis               net.Listener
	http              *http.Server
	seq               atomic.Int64
	born              int64
	mu                sync.Mutex
	arrivals          []arrival
	state             string
	stopBeats         context.CancelFunc
	beating           sync.WaitGroup
	client            *http.Client
	running           atomic.Int64
	slots             int
}

func newServer(s *system, id, service, zone string, host int, work time.Duration) (*server, error) {
	lis, err := net.Listen("tcp", s.address(host)+":0")
	if err != nil {
		return nil, err
	}
	sv := &server{s: s, id: id, service: service, zone: zone, addr: lis.Addr().String(), work: work, lis: lis, born: time.Now().UnixMilli(), state: "ready", client: newHTTPClient(time.Second), slots: 6}
	sv.http = &http.Server{Handler: sv}
	go func() { _ = sv.http.Serve(lis) }()
	return sv, nil
}

// ServeHTTP runs a request: it waits for the work time and answers with its signature.
func (sv *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Snipereach-Instance-Id", sv.id)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("X-Snipereach-Attempt-Id")
	h.Set("X-Snipereach-Attempt-Id", id)
	if e := r.Header.Get("X-Snipereach-Expected-Instance"); e != "" && e != sv.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	from, _, _ := net.SplitHostPort(r.RemoteAddr)
	sv.mu.Lock()
	sv.arrivals = append(sv.arrivals, arrival{id, time.Now(), from})
	sv.mu.Unlock()
	sv.s.rec.log("request %s reaches server %s and runs", id, sv.id)
	running := sv.running.Add(1)
	defer sv.running.Add(-1)
	time.Sleep(sv.work)
	body := []byte("answer of " + sv.id + " to " + id)
	h.Set("X-Snipereach-Response-Signature", fmt.Sprintf("sig.%s.%s.%d", sv.id, id, len(body)))
	h.Set("X-Snipereach-Server-Load", fmt.Sprintf("%d,0,%d", running, sv.slots))
	_, _ = w.Write(body)
}

// register sends one heartbeat, to the next machine if one doesn't acknowledge it. It returns the
// machine that did.
func (sv *server) register(ctx context.Context) *machine {
	sv.mu.Lock()
	state := sv.state
	sv.mu.Unlock()
	body, _ := json.Marshal(map[string]any{
		"service": sv.service, "address": sv.addr, "zone": sv.zone, "version": "v1", "slots": sv.slots, "state": state,
		"coldRemainingMs": 0, "sequence": sv.seq.Add(1), "born": sv.born,
	})
	return sv.callControl(ctx, http.MethodPut, body)
}

func (sv *server) callControl(ctx context.Context, method string, body []byte) *machine {
	order := rand.Perm(len(sv.s.controls))
	for _, i := range order {
		m := sv.s.controls[i]
		url := fmt.Sprintf("http://%s:%d/instances/%s", m.ip, sv.s.ports.control, sv.id)
		req, _ := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		resp, err := sv.client.Do(req)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode/100 == 2 {
			return m
		}
	}
	return nil
}

// beat sends heartbeats until stopped.
func (sv *server) beat() {
	ctx, cancel := context.WithCancel(context.Background())
	sv.stopBeats = cancel
	sv.beating.Add(1)
	go func() {
		defer sv.beating.Done()
		interval := time.Duration(sv.s.heartbeatMS) * time.Millisecond
		time.Sleep(rand.N(200 * time.Millisecond))
		for ctx.Err() == nil {
			sv.register(ctx)
			select {
			case <-ctx.Done():
			case <-time.After(interval - 50*time.Millisecond + rand.N(100*time.Millisecond)):
			}
		}
	}()
}

// deregister ends the heartbeats and sends DELETE. It returns the machine that acknowledged it.
func (sv *server) deregister() *machine {
	sv.stopBeats()
	sv.beating.Wait()
	return sv.callControl(context.Background(), http.MethodDelete, nil)
}

// exit ends the server: its listener and its connections are closed.
func (sv *server) exit() {
	sv.s.rec.log("server %s exits", sv.id)
	_ = sv.http.Close()
}

// reached returns the arrivals so far.
func (sv *server) reached() []arrival {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return append([]arrival(nil), sv.arrivals...)
}

// sent is one request of a client and its answer.
type sent struct {
	id, gateway string
	at          time.Time
	status      int
	err         error
}

// client sends requests, each attempt with its own ID.
type client struct {
	s    *system
	http *http.Client
	key  string
	// deadlineMS is the deadline of the requests of waitServed.
	deadlineMS int
	mu         sync.Mutex
	requests   map[string]*sent
}

func newClient(s *system, key string) *client {
	return &client{s: s, http: newHTTPClient(10 * time.Second), key: key, deadlineMS: 600, requests: map[string]*sent{}}
}

// send sends one request to a gateway.
func (c *client) send(gw *machine, method, host, path string, deadlineMS int, body []byte) *sent {
	q := &sent{id: fmt.Sprintf("%016x", rand.Uint64()), gateway: gw.name, at: time.Now()}
	c.mu.Lock()
	c.requests[q.id] = q
	c.mu.Unlock()
	req, _ := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", gw.ip, c.s.ports.frontend, path), bytes.NewReader(body))
	req.Host = host
	req.Header.Set("X-Snipereach-Attempt-Id", q.id)
	req.Header.Set("X-Snipereach-Request-Deadline", fmt.Sprint(deadlineMS))
	req.Header.Set("Authorization", "Bearer "+c.key)
	c.s.rec.log("request %s sent to %s", q.id, gw.name)
	resp, err := c.http.Do(req)
	if err != nil {
		q.err = err
		c.s.rec.log("request %s failed: %v", q.id, err)
		return q
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	q.status, q.err = resp.StatusCode, err
	c.s.rec.log("request %s answered %d %q %v", q.id, resp.StatusCode, data, err)
	return q
}

// byID returns a request.
func (c *client) byID(id string) *sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests[id]
}

// waitServed sends requests to each gateway until all have served one.
func (c *client) waitServed(host, path string, limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, gw := range c.s.gateways {
		for {
			if q := c.send(gw, http.MethodPost, host, path, c.deadlineMS, nil); q.status == http.StatusOK {
				break
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s serves nothing", gw.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// load sends requests to the gateways in turn, perSecond in all, until ctx ends.
func (c *client) load(ctx context.Context, perSecond float64, pick func() *machine, method, host, path string, deadlineMS int) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		gw := pick()
		if gw == nil {
			continue
		}
		go c.send(gw, method, host, path, deadlineMS, []byte("body"))
	}
}

// plainService starts the system and a plain service with four servers, and sends 140 requests a second
// to it for twelve seconds. The load goes on until stop is called.
func (s *system) plainService() (servers []*server, c *client, stop func(), err error) {
	ctx, cancel := context.WithCancel(context.Background())
	stop = func() {
		cancel()
		for _, sv := range servers {
			sv.stopBeats()
			sv.exit()
		}
	}
	if err = s.startAll(); err != nil {
		return servers, nil, stop, err
	}
	op := &operator{s: s, http: newHTTPClient(2 * time.Second)}
	routes := []route{{Name: "r1", Host: "ping.example", Prefix: "/ping/", Kind: "unsafe", Service: "yard", TimeoutMS: 600, MaxAttempts: 2}}
	if err = op.put(1, configuration(1, routes, []string{"yard"}, "key1"), 15*time.Second); err != nil {
		return servers, nil, stop, err
	}
	for i, id := range []string{"i-one", "i-two", "i-three", "i-leaving"} {
		sv, err := newServer(s, id, "yard", s.zones[i%3], 100+i, 100*time.Millisecond)
		if err != nil {
			return servers, nil, stop, err
		}
		servers = append(servers, sv)
		sv.beat()
	}
	c = newClient(s, "key1")
	if err = c.waitServed("ping.example", "/ping/x", 15*time.Second); err != nil {
		return servers, c, stop, err
	}
	go c.load(ctx, 140, func() *machine { return s.gateways[rand.IntN(len(s.gateways))] }, http.MethodPost, "ping.example", "/ping/x", 600)
	time.Sleep(12 * time.Second)
	return servers, c, stop, nil
}

func (sv *server) setState(state string) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.state = state
}
