//go:build review

package harness

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"slices"
	"sync"
	"time"
)

// GroupShape is the shape of a group and of its engine, as the configuration names it.
type GroupShape struct {
	Ranks, Sets, Experts, Placements, Spare, Slots int
	// CopyTime is how long a rank copies one expert.
	CopyTime time.Duration
	// PassTime is the time between two passes while requests run.
	PassTime time.Duration
}

// Group is a group of ranks as PROTOCOL.md describes it: all ranks execute each pass together, an idle group
// makes no passes, and the group doesn't begin a pass that a rank holds.
type Group struct {
	Name, Service string
	Epoch         uint64
	Shape         GroupShape
	Ranks         []*Rank

	record *Record
	mu     sync.Mutex
	step   uint64
	demand []uint64
	// passes is closed and replaced with each pass.
	passes chan struct{}
	// violations counts the passes that began while two ranks had different maps.
	violations int
	first      string
	switches   int
	stop       chan struct{}
}

// Rank is a model server that is a rank of a group.
type Rank struct {
	Instance, Zone, Address string
	Born                    int64
	// ReportLag is the age of reports to other machines; 0 for a rank whose machine has a sidecar.
	ReportLag time.Duration

	group    *Group
	index    int
	server   *http.Server
	sequence int

	running, waiting int
	counts           []uint64
	current          rankMap
	prepared         *rankMap
	armedStep        uint64
	heldStep         uint64
	highest          uint64
	token            uint64
	begun            uint64
	// reports has recent states, for ReportLag.
	reports []agedReport
}

type rankMap struct {
	version uint64
	// all is the whole map, by set and rank; nil for map 0.
	all [][][]int
	own [][]int
}

type agedReport struct {
	at   time.Time
	body map[string]any
}

// NewGroup starts the ranks with the given instance IDs at the addresses that address returns.
func NewGroup(r *Record, name, service string, shape GroupShape, instances []string, ranks []int, address func(rank int) string) (*Group, error) {
	g := &Group{Name: name, Service: service, Epoch: 1, Shape: shape, record: r, passes: make(chan struct{}), stop: make(chan struct{})}
	g.demand = slices.Repeat([]uint64{1}, shape.Experts)
	for n, i := range ranks {
		k := &Rank{
			Instance: instances[n], Zone: zoneOf(i), Address: address(i), Born: time.Now().UnixMilli(),
			group: g, index: i, counts: make([]uint64, shape.Sets*shape.Experts),
		}
		k.current.own = g.firstMap(i)
		lis, err := net.Listen("tcp", k.Address)
		if err != nil {
			return nil, err
		}
		k.server = &http.Server{Handler: k}
		go func() { _ = k.server.Serve(lis) }()
		g.Ranks = append(g.Ranks, k)
	}
	go g.run()
	return g, nil
}

// firstMap returns what a rank holds under map 0, which assigns experts in turn.
func (g *Group) firstMap(rank int) [][]int {
	var sets [][]int
	for range g.Shape.Sets {
		var list []int
		for e := rank; e < g.Shape.Experts; e += g.Shape.Ranks {
			list = append(list, e)
		}
		sets = append(sets, list)
	}
	return sets
}

// Close ends the ranks.
func (g *Group) Close() {
	close(g.stop)
	for _, k := range g.Ranks {
		_ = k.server.Close()
	}
}

// SetDemand sets how often each expert is chosen by a request in a pass.
func (g *Group) SetDemand(demand []uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.demand = demand
	g.record.Add("group %s of %s: other experts are in demand: %v", g.Name, g.Service, demand)
}

// Violations returns how many passes began while two ranks had different maps, and the first of them.
func (g *Group) Violations() (n int, first string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.violations, g.first
}

// Progress returns the last step and the number of switches to another map.
func (g *Group) Progress() (step uint64, switches int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.step, g.switches
}

func (g *Group) run() {
	tick := time.NewTicker(g.Shape.PassTime)
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

// pass begins the next pass if any request runs and no rank holds it.
func (g *Group) pass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	busy := false
	for _, k := range g.Ranks {
		if k.heldStep == g.step+1 {
			return
		}
		busy = busy || k.running > 0
	}
	if !busy {
		return
	}
	g.step++
	switched := 0
	for _, k := range g.Ranks {
		if k.armedStep == g.step {
			k.current, k.prepared, k.armedStep = *k.prepared, nil, 0
			switched++
		}
		for i := range k.counts {
			k.counts[i] += g.demand[i%g.Shape.Experts] * uint64(k.running)
		}
	}
	if switched > 0 {
		g.switches++
		g.record.Add("group %s of %s: pass %d begins, %d ranks switch", g.Name, g.Service, g.step, switched)
	}
	g.checkMaps()
	close(g.passes)
	g.passes = make(chan struct{})
}

// checkMaps is the rule MAP.
func (g *Group) checkMaps() {
	base := g.Ranks[0]
	for _, k := range g.Ranks[1:] {
		if k.current.version == base.current.version && reflect.DeepEqual(k.current.all, base.current.all) {
			continue
		}
		g.violations++
		text := fmt.Sprintf("pass %d begins while rank %d (%s) has map %d and rank %d (%s) has map %d",
			g.step, base.index, base.Instance, base.current.version, k.index, k.Instance, k.current.version)
		if g.first == "" {
			g.first = text
		}
		if g.violations <= 5 {
			g.record.Add("MAP broken: %s", text)
		}
		return
	}
}

// Registration returns the body of the next heartbeat of a rank.
func (k *Rank) Registration() string {
	k.group.mu.Lock()
	defer k.group.mu.Unlock()
	k.sequence++
	return jsonText(map[string]any{
		"service": k.group.Service, "address": k.Address, "zone": k.Zone, "version": "v1", "slots": k.group.Shape.Slots,
		"state": "ready", "coldRemainingMs": 0, "stage": "unified", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
		"sequence": k.sequence, "born": k.Born, "size": k.group.Shape.Ranks,
		"group": map[string]any{"name": k.group.Name, "epoch": k.group.Epoch, "rank": k.index, "state": "open"},
	})
}

// ServeHTTP implements http.Handler.
func (k *Rank) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("X-Snipereach-Attempt-Id"); id != "" {
		w.Header().Set("X-Snipereach-Attempt-Id", id)
	}
	if want := r.Header.Get("X-Snipereach-Expected-Instance"); want != "" && want != k.Instance {
		w.Header().Set("X-Snipereach-Instance-Id", k.Instance)
		w.Header().Set("X-Snipereach-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		k.writeJSON(w, k.report())
	case "/picked":
		k.picked(w, r)
	case "/order":
		k.handleOrder(w, r)
	default:
		k.stream(w, r)
	}
}

func (k *Rank) writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func optional(n uint64) any {
	if n == 0 {
		return nil
	}
	return n
}

func (k *Rank) report() map[string]any {
	g := k.group
	g.mu.Lock()
	defer g.mu.Unlock()
	now := map[string]any{
		"stage": "unified", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false,
		"sequence": k.begun, "waiting": k.waiting, "running": k.running, "kvCacheUsed": 0, "kvCacheTotal": 494000, "handles": 0,
		"step": g.step, "map": k.current.version, "prepared": nil, "armed": nil, "held": optional(k.heldStep), "pace": 1.0, "born": k.Born,
	}
	if k.prepared != nil {
		now["prepared"] = k.prepared.version
		if k.armedStep != 0 {
			now["armed"] = map[string]any{"version": k.prepared.version, "step": k.armedStep}
		}
	}
	if k.ReportLag == 0 {
		return now
	}
	k.reports = append(k.reports, agedReport{time.Now(), now})
	for len(k.reports) > 1 && time.Since(k.reports[1].at) >= k.ReportLag {
		k.reports = k.reports[1:]
	}
	return k.reports[0].body
}

func (k *Rank) picked(w http.ResponseWriter, r *http.Request) {
	g := k.group
	g.mu.Lock()
	var v any
	if r.URL.Query().Has("lists") {
		v = map[string]any{"map": map[string]any{"version": k.current.version, "experts": k.current.own}, "prepared": nil}
	} else {
		v = map[string]any{"step": g.step, "epoch": g.Epoch, "counts": slices.Clone(k.counts)}
	}
	g.mu.Unlock()
	k.writeJSON(w, v)
}

type order struct {
	Operation    string
	FencingToken *uint64
	Expect       *uint64
	Epoch        *uint64
	Version      uint64
	Step         uint64
	Map          [][][]int
}

func (k *Rank) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(body, &o)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := k.carryOut(o)
	k.group.record.Add("order to rank %d (%s): %s version %d step %d token %d: %d", k.index, k.Instance, o.Operation, o.Version, o.Step, *o.FencingToken, status)
	w.WriteHeader(status)
}

// carryOut carries out an order and returns the status of the answer.
func (k *Rank) carryOut(o order) int {
	g := k.group
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case o.FencingToken == nil:
		return http.StatusBadRequest
	case *o.FencingToken < k.token:
		return http.StatusPreconditionFailed
	}
	k.token = *o.FencingToken
	if o.Epoch != nil && *o.Epoch != g.Epoch || o.Expect != nil && *o.Expect != k.begun {
		return http.StatusConflict
	}
	status := k.apply(o)
	if status == http.StatusAccepted {
		k.begun++
	}
	return status
}

func (k *Rank) apply(o order) int {
	g := k.group
	switch o.Operation {
	case "prepare":
		return k.prepare(o)
	case "arm":
		switch {
		case k.prepared == nil || k.prepared.version != o.Version || o.Step <= g.step:
			return http.StatusConflict
		case k.armedStep == o.Step:
			return http.StatusOK
		}
		k.armedStep = o.Step
	case "disarm":
		if o.Version == k.current.version {
			return http.StatusConflict
		}
		if k.prepared != nil && k.prepared.version == o.Version {
			k.armedStep = 0
		}
	case "hold":
		if o.Step <= g.step || k.heldStep != 0 && k.heldStep != o.Step {
			return http.StatusConflict
		}
		k.heldStep = o.Step
	case "go":
		if k.heldStep != o.Step {
			return http.StatusConflict
		}
		k.heldStep = 0
	default:
		return http.StatusBadRequest
	}
	return http.StatusOK
}

// prepare begins to copy the experts of a map that are new to the rank.
func (k *Rank) prepare(o order) int {
	g := k.group
	if o.Version <= k.highest || k.armedStep != 0 || len(o.Map) != g.Shape.Sets {
		return http.StatusConflict
	}
	next, copies := rankMap{version: o.Version, all: o.Map}, 0
	for set, ranks := range o.Map {
		if len(ranks) != g.Shape.Ranks || len(ranks[k.index]) > g.Shape.Placements {
			return http.StatusConflict
		}
		fresh := 0
		for _, e := range ranks[k.index] {
			if !slices.Contains(k.current.own[set], e) {
				fresh++
			}
		}
		if fresh > g.Shape.Spare {
			return http.StatusConflict
		}
		copies += fresh
		next.own = append(next.own, ranks[k.index])
	}
	k.highest, k.prepared = o.Version, nil
	time.AfterFunc(time.Duration(copies)*g.Shape.CopyTime, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if k.highest == next.version {
			k.prepared = &next
		}
	})
	return http.StatusAccepted
}

// eventsPerStream is the number of events of an answer, one in each pass.
const eventsPerStream = 26

// stream runs a request.
func (k *Rank) stream(w http.ResponseWriter, r *http.Request) {
	g := k.group
	g.mu.Lock()
	if k.running >= g.Shape.Slots {
		g.mu.Unlock()
		w.Header().Set("X-Snipereach-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	k.running++
	load := fmt.Sprintf("%d,%d,%d", k.running, k.waiting, g.Shape.Slots)
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		k.running--
		g.mu.Unlock()
	}()
	id := r.Header.Get("X-Snipereach-Attempt-Id")
	w.Header().Set("X-Snipereach-Response-Signature", "s."+id)
	w.Header().Set("X-Snipereach-Server-Load", load)
	w.Header().Set("Content-Type", "text/event-stream")
	from := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &from)
	for n := from + 1; n <= eventsPerStream; n++ {
		g.mu.Lock()
		passed := g.passes
		g.mu.Unlock()
		select {
		case <-passed:
		case <-r.Context().Done():
			return
		case <-g.stop:
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s.%d\n\n", n, id, n); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

const (
	// copyTime is that of 2,500 MB over 180,000 Mbit/s.
	copyTime = 111 * time.Millisecond
	// passTime is that of six steps with some requests at each rank.
	passTime = 40 * time.Millisecond
)
