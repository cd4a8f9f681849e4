//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	groupSets, groupExperts, groupPlaces, groupSpare = 4, 64, 5, 2
	passInterval                                     = 20 * time.Millisecond
	copyTime                                         = 110 * time.Millisecond
	reportLag                                        = 200 * time.Millisecond
	streamEvents                                     = 10
)

// group is a group of ranks that begin each pass together.
type group struct {
	s             *system
	name, service string
	mu            sync.Mutex
	step          uint64
	ranks         []*rank
	running       int
	// violations are the passes that began while two ranks had different maps.
	violations []string
	switches   int
	weights    []float64
	stop       chan struct{}
}

// rank is a model server of a group. It listens at addr for all callers, and at local for the process
// beside it, to which its reports are fresh.
type rank struct {
	g               *group
	id              string
	index           int
	zone            string
	addr, local     string
	born            int64
	seq             int
	counts          []uint64
	m               uint64
	maps            map[uint64][][]int
	highest         uint64
	prepared, armed uint64
	armedStep, held uint64
	token, sequence uint64
	history         []timedReport
	servers         []*http.Server
	client          *http.Client
	orders          int
}

type timedReport struct {
	at   time.Time
	body []byte
}

// newGroup starts the ranks of a group; ips has the address of the machine of each.
func newGroup(s *system, name, service, idFormat string, ips []string) (*group, error) {
	g := &group{s: s, name: name, service: service, stop: make(chan struct{})}
	for e := range groupExperts {
		g.weights = append(g.weights, 1/math.Pow(float64(e+1), 0.9))
	}
	rand.Shuffle(len(g.weights), func(i, j int) { g.weights[i], g.weights[j] = g.weights[j], g.weights[i] })
	for i, ip := range ips {
		r := &rank{g: g, id: fmt.Sprintf(idFormat, i), index: i, zone: s.zones[i%3], born: time.Now().UnixMilli(), counts: make([]uint64, groupSets*groupExperts), maps: map[uint64][][]int{}, client: newHTTPClient(time.Second)}
		var own [][]int
		for range groupSets {
			var list []int
			for e := i; e < groupExperts; e += len(ips) {
				list = append(list, e)
			}
			own = append(own, list)
		}
		r.maps[0] = own
		for n, fresh := range []bool{false, true} {
			lis, err := net.Listen("tcp", ip+":0")
			if err != nil {
				return nil, err
			}
			if n == 0 {
				r.addr = lis.Addr().String()
			} else {
				r.local = lis.Addr().String()
			}
			srv := &http.Server{Handler: r.handler(fresh)}
			r.servers = append(r.servers, srv)
			go func() { _ = srv.Serve(lis) }()
		}
		g.ranks = append(g.ranks, r)
	}
	go g.run()
	return g, nil
}

func (g *group) close() {
	close(g.stop)
	for _, r := range g.ranks {
		for _, s := range r.servers {
			_ = s.Close()
		}
	}
}

// run makes passes while requests run. All ranks begin a pass together, unless a rank holds it.
func (g *group) run() {
	tick := time.NewTicker(passInterval)
	defer tick.Stop()
	for {
		select {
		case <-g.stop:
			return
		case <-tick.C:
			g.pass()
		}
	}
}

func (g *group) pass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.snapshot()
	if g.running == 0 {
		return
	}
	for _, r := range g.ranks {
		if r.held == g.step+1 {
			return
		}
	}
	g.step++
	for _, r := range g.ranks {
		if r.armed != 0 && r.armedStep == g.step {
			r.m, r.prepared, r.armed, r.armedStep = r.armed, 0, 0, 0
			if r.index == 0 {
				g.switches++
				g.s.rec.log("%s: pass %d begins, rank 0 switches to map %d", g.service, g.step, r.m)
			}
		}
		for i := range r.counts {
			r.counts[i] += uint64(rand.IntN(100) + int(1000*g.weights[i%groupExperts]))
		}
	}
	for _, r := range g.ranks {
		if r.m != g.ranks[0].m {
			v := fmt.Sprintf("%s: pass %d begins while rank 0 (%s) has map %d and rank %d (%s) map %d", g.service, g.step, g.ranks[0].id, g.ranks[0].m, r.index, r.id, r.m)
			g.violations = append(g.violations, v)
			if len(g.violations) < 20 {
				g.s.rec.log("%s", v)
			}
		}
	}
}

// snapshot keeps the reports that callers from other machines get later.
func (g *group) snapshot() {
	now := time.Now()
	for _, r := range g.ranks {
		r.history = append(r.history, timedReport{now, r.report()})
		for len(r.history) > 1 && now.Sub(r.history[1].at) > reportLag {
			r.history = r.history[1:]
		}
	}
}

func optional(n uint64) any {
	if n == 0 {
		return nil
	}
	return n
}

// report returns the body of a report; the group must be locked.
func (r *rank) report() []byte {
	var armed any
	if r.armed != 0 {
		armed = map[string]any{"version": r.armed, "step": r.armedStep}
	}
	data, _ := json.Marshal(map[string]any{
		"stage": "unified", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false,
		"sequence": r.sequence, "waiting": 0, "running": 1, "kvCacheUsed": 1000, "kvCacheTotal": 90000, "handles": 0, "pace": 1.0,
		"step": r.g.step, "map": r.m, "prepared": optional(r.prepared), "armed": armed, "held": optional(r.held), "born": r.born,
	})
	return data
}

func (r *rank) handler(fresh bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("X-Snipereach-Instance-Id", r.id)
		if id := req.Header.Get("X-Snipereach-Attempt-Id"); id != "" {
			w.Header().Set("X-Snipereach-Attempt-Id", id)
		}
		if e := req.Header.Get("X-Snipereach-Expected-Instance"); e != "" && e != r.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		switch {
		case req.URL.Path == "/report":
			r.g.mu.Lock()
			body := r.report()
			if !fresh && len(r.history) > 0 {
				body = r.history[0].body
			}
			r.g.mu.Unlock()
			writeJSON(w, http.StatusOK, body)
		case req.URL.Path == "/picked":
			r.picked(w, req.URL.Query().Has("lists"))
		case req.URL.Path == "/order":
			body, _ := io.ReadAll(req.Body)
			status := r.order(body)
			writeJSON(w, status, []byte("{}"))
		case req.URL.Path == "/health":
		default:
			r.stream(w, req)
		}
	})
}

func writeJSON(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (r *rank) picked(w http.ResponseWriter, lists bool) {
	r.g.mu.Lock()
	v := map[string]any{"step": r.g.step, "epoch": 1, "counts": r.counts}
	if lists {
		v = map[string]any{"map": map[string]any{"version": r.m, "experts": r.maps[r.m]}, "prepared": nil}
	}
	data, _ := json.Marshal(v)
	r.g.mu.Unlock()
	writeJSON(w, http.StatusOK, data)
}

type rankOrder struct {
	Operation    string    `json:"operation"`
	FencingToken uint64    `json:"fencingToken"`
	Expect       *uint64   `json:"expect"`
	Epoch        uint64    `json:"epoch"`
	Version      uint64    `json:"version"`
	Step         uint64    `json:"step"`
	Map          [][][]int `json:"map"`
}

// order carries out an order and returns the status of its answer.
func (r *rank) order(body []byte) int {
	var o rankOrder
	if err := json.Unmarshal(body, &o); err != nil {
		return http.StatusBadRequest
	}
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	r.orders++
	status := r.apply(&o)
	r.g.s.rec.log("%s: rank %d (%s) at step %d is ordered to %s version %d step %d token %d: %d", r.g.service, r.index, r.id, r.g.step, o.Operation, o.Version, o.Step, o.FencingToken, status)
	return status
}

func (r *rank) apply(o *rankOrder) int {
	if o.FencingToken < r.token {
		return http.StatusPreconditionFailed
	}
	r.token = o.FencingToken
	if o.Epoch != 1 || o.Expect != nil && *o.Expect != r.sequence {
		return http.StatusConflict
	}
	switch o.Operation {
	case "prepare":
		return r.prepare(o)
	case "arm":
		if r.armed == o.Version && r.armedStep == o.Step {
			return http.StatusOK
		}
		if o.Version != r.prepared || o.Step <= r.g.step {
			return http.StatusConflict
		}
		r.armed, r.armedStep = o.Version, o.Step
	case "disarm":
		if o.Version == r.m {
			return http.StatusConflict
		}
		if r.armed != o.Version {
			return http.StatusOK
		}
		r.armed, r.armedStep = 0, 0
	case "hold":
		if r.held == o.Step {
			return http.StatusOK
		}
		if o.Step <= r.g.step || r.held != 0 {
			return http.StatusConflict
		}
		r.held = o.Step
	case "go":
		if r.held == 0 {
			return http.StatusOK
		}
		if r.held != o.Step {
			return http.StatusConflict
		}
		r.held = 0
	default:
		return http.StatusBadRequest
	}
	r.sequence++
	return http.StatusOK
}

func (r *rank) prepare(o *rankOrder) int {
	if o.Version <= r.highest || r.armed != 0 || len(o.Map) != groupSets {
		return http.StatusConflict
	}
	var own [][]int
	most := 0
	for set, ranks := range o.Map {
		if len(ranks) != len(r.g.ranks) || len(ranks[r.index]) > groupPlaces {
			return http.StatusConflict
		}
		held := map[int]bool{}
		for _, e := range r.maps[r.m][set] {
			held[e] = true
		}
		added := 0
		for _, e := range ranks[r.index] {
			if !held[e] {
				added++
			}
		}
		if added > groupSpare {
			return http.StatusConflict
		}
		most = max(most, added)
		own = append(own, ranks[r.index])
	}
	r.highest, r.prepared = o.Version, 0
	r.maps[o.Version] = own
	r.sequence++
	time.AfterFunc(time.Duration(most)*copyTime, func() {
		r.g.mu.Lock()
		defer r.g.mu.Unlock()
		if r.highest == o.Version {
			r.prepared = o.Version
		}
	})
	return http.StatusAccepted
}

// stream answers a request with events that have increasing IDs.
func (r *rank) stream(w http.ResponseWriter, req *http.Request) {
	_, _ = io.Copy(io.Discard, req.Body)
	r.g.mu.Lock()
	r.g.running++
	r.g.mu.Unlock()
	defer func() {
		r.g.mu.Lock()
		r.g.running--
		r.g.mu.Unlock()
	}()
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Snipereach-Response-Signature", "sig."+r.id+"."+req.Header.Get("X-Snipereach-Attempt-Id"))
	first := 0
	_, _ = fmt.Sscan(req.Header.Get("Last-Event-Id"), &first)
	for n := first + 1; n <= streamEvents; n++ {
		select {
		case <-req.Context().Done():
			return
		case <-time.After(3 * passInterval):
		}
		fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", n, n)
		_ = http.NewResponseController(w).Flush()
	}
}

// beat sends heartbeats to the control machines until the context ends.
func (r *rank) beat(ctx context.Context) {
	for ctx.Err() == nil {
		r.g.mu.Lock()
		r.seq++
		body, _ := json.Marshal(map[string]any{
			"service": r.g.service, "address": r.addr, "zone": r.zone, "version": "v1", "slots": 12, "state": "ready", "coldRemainingMs": 0,
			"stage": "unified", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "sequence": r.seq, "born": r.born,
			"group": map[string]any{"name": r.g.name, "epoch": 1, "rank": r.index, "state": "open"}, "size": len(r.g.ranks),
		})
		r.g.mu.Unlock()
		for _, i := range rand.Perm(len(r.g.s.controls)) {
			m := r.g.s.controls[i]
			req, _ := http.NewRequestWithContext(ctx, http.MethodPut, fmt.Sprintf("http://%s:%d/instances/%s", m.ip, r.g.s.ports.control, r.id), bytes.NewReader(body))
			resp, err := r.client.Do(req)
			if err != nil {
				continue
			}
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				break
			}
			r.g.s.rec.log("heartbeat of %s answered %d", r.id, resp.StatusCode)
		}
		select {
		case <-ctx.Done():
		case <-time.After(1150*time.Millisecond + rand.N(100*time.Millisecond)):
		}
	}
}

// engineConfiguration returns a configuration with one model service and a streaming route to it.
func engineConfiguration(version int, service, key string) []byte {
	data, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r1", "host": "llm.example", "pathPrefix": "/gen/", "kind": "streaming", "timeoutMs": 8000, "targetLatencyMs": 400, "priority": 1,
			"service": service, "maxAttempts": 2, "allowAnonymous": false, "sessionAffinity": true, "resumeStreams": true, "targetGapMs": 120,
		}},
		"services": []any{map[string]any{
			"name": service, "healthCheckPath": "/health", "maxConnections": 248, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 12, "kvCacheTokens": 494000, "kvTokenBytes": 35136, "linkMbps": 180000.0, "stride": 6, "models": []any{map[string]any{"name": "m"}},
				"step_ms": 4.84, "per_seq_ms": 0.362, "context_per_k": 0.011, "read_per_s": 74800.0, "pairs_per_m": 0.232, "chunk": 512, "report_lag_ms": 200.0,
				"usual": map[string]any{"prompt": 835, "answer": 159}, "sets": groupSets, "experts": groupExperts, "placements": groupPlaces, "spare": groupSpare,
				"expertMb": 2500.0, "expertShare": 0.85, "form_ms": 600.0,
			},
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "t1", "apiKeys": []string{key}, "priority": 1}},
	})
	return data
}
