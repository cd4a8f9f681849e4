package teamshare

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
	"storj.io/drpc"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

var errUnreachable = errors.New("unreachable")

// network has control replicas that nodes reach without sockets. Time passes only as tests say.
type network struct {
	clock
	replicas map[string]*Collector
	// down are the replicas that can't be reached, asked counts the calls that reached each replica.
	down  map[string]bool
	asked map[string]int
	mu    sync.Mutex
}

func newNetwork(replicas int) *network {
	w := &network{clock: clock{start}, replicas: map[string]*Collector{}, down: map[string]bool{}, asked: map[string]int{}}
	for i := range replicas {
		w.replicas[fmt.Sprint("c", i)] = NewCollector(w.now)
	}
	return w
}

func (w *network) addresses() (list []string) {
	for name := range w.replicas {
		list = append(list, name)
	}
	return list
}

// replicaConn is a connection to a replica of a network.
type replicaConn struct {
	*network
	replica string
}

func (c replicaConn) Close() error            { return nil }
func (c replicaConn) Closed() <-chan struct{} { return nil }

func (c replicaConn) NewStream(context.Context, string, drpc.Encoding) (drpc.Stream, error) {
	return nil, errUnreachable
}

func (c replicaConn) Invoke(_ context.Context, _ string, _ drpc.Encoding, in, out drpc.Message) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down[c.replica] {
		return errUnreachable
	}
	c.asked[c.replica]++
	totals, err := c.replicas[c.replica].Report(in.(*wire.DemandReport))
	if err != nil {
		return err
	}
	reply := out.(*wire.DemandTotals)
	reply.Service, reply.SpanMs, reply.Teams, reply.Gateways, reply.AgeMs = totals.Service, totals.SpanMs, totals.Teams, totals.Gateways, totals.AgeMs
	return nil
}

// node returns the node of a gateway among as many gateways.
func (w *network) node(id string, gateways int) *Node {
	return NewNode(Options{
		ID: id, Log: log.NewNopLogger(), Now: w.now, Metrics: kernel.NewMetrics(), Replicas: w.addresses, Gateways: func() int { return gateways },
		Dial: func(_ context.Context, replica string) drpc.Conn { return replicaConn{w, replica} },
	})
}

// count counts requests of a team at a node, of which some are admitted.
func count(n *Node, team string, arrived, admitted int) {
	for i := range arrived {
		n.Arrived("s", team, 1)
		if i < admitted {
			n.Admitted("s", team, 1)
		} else {
			n.Refused("s", team, 1, "busy")
		}
	}
}

// sendReports has all due reports sent.
func sendReports(nodes ...*Node) {
	for _, n := range nodes {
		var reports sync.WaitGroup
		n.reportDue(context.Background(), &reports)
		reports.Wait()
	}
}

// source returns what the shares of a node are computed from.
func source(n *Node) string { return n.Dump().([]dumpView)[0].Source }

// first returns the replica that the service is reported to first.
func (w *network) first() string {
	return (&replicaOrder{}).order(w.now(), "s", w.addresses())[0]
}

// Guards against a gateway that limits a team by what it sees alone: at each of these gateways all teams ask
// for the same, but one team is at all of them.
func TestSharesAreThoseOfAllGateways(t *testing.T) {
	w := newNetwork(3)
	var nodes []*Node
	for i := range 10 {
		n := w.node(fmt.Sprint("g", i), 10)
		count(n, "everywhere", 100, 50)
		count(n, fmt.Sprint("local-", i), 100, 90)
		nodes = append(nodes, n)
	}
	sendReports(nodes...)
	w.pass(time.Second)
	sendReports(nodes...)
	for i, n := range nodes {
		assert.Equal(t, source(n), sourceTotals)
		assert.Assert(t, n.Over("s", "everywhere"))
		assert.Assert(t, !n.Over("s", fmt.Sprint("local-", i)))
	}
	assert.Equal(t, len(w.asked), 1, "the gateways asked different replicas")
}

// Guards against reports, and teams held to a share, without contention; and against a limit that outlasts it.
func TestNothingIsReportedWithoutContention(t *testing.T) {
	w := newNetwork(1)
	n := w.node("g", 1)
	for range 1000 {
		n.Arrived("s", "a", 0)
		n.Admitted("s", "a", 0)
	}
	sendReports(n)
	assert.Equal(t, len(w.asked), 0)
	n.Queued("s")
	sendReports(n)
	assert.Equal(t, w.asked["c0"], 1)
	count(n, "a", 5000, 0)
	w.pass(time.Second)
	sendReports(n)
	assert.Assert(t, n.Over("s", "a"))
	w.pass(contendedFor)
	sendReports(n)
	assert.Assert(t, !n.Over("s", "a"))
	assert.Equal(t, w.asked["c0"], 2)
	w.pass(idleAfter)
	n.forgetIdle(w.now())
	assert.Equal(t, len(n.Dump().([]dumpView)), 0, "a service without requests is kept")
}

// play has a node's callers ask for the same each second, and reports.
func play(w *network, seconds int, nodes ...*Node) {
	for range seconds {
		for _, n := range nodes {
			count(n, "flood", 100, 30)
			count(n, "small", 10, 10)
		}
		sendReports(nodes...)
		w.pass(time.Second)
	}
}

// Guards against gateways without shares after the loss of the replica that summed up the demand.
func TestNextReplicaIsAskedAfterLoss(t *testing.T) {
	w := newNetwork(3)
	nodes := []*Node{w.node("g0", 2), w.node("g1", 2)}
	play(w, 3, nodes...)
	first := w.first()
	assert.Equal(t, w.asked[first], 6)
	w.down[first] = true
	play(w, 1, nodes...)
	assert.Equal(t, len(w.asked), 2, "no other replica was asked in the same second")
	for _, n := range nodes {
		assert.Equal(t, source(n), sourceTotals)
		assert.Assert(t, n.Over("s", "flood") && !n.Over("s", "small"))
	}
	// It is asked again when it is back.
	w.down[first] = false
	before := w.asked[first]
	play(w, 7, nodes...)
	assert.Assert(t, w.asked[first] > before)
}

// Guards against a restarted replica, which knows nothing, whose sums make teams lose their shares.
func TestRestartedReplicaLearnsFromReports(t *testing.T) {
	w := newNetwork(1)
	nodes := []*Node{w.node("g0", 2), w.node("g1", 2)}
	play(w, 3, nodes...)
	w.replicas["c0"] = NewCollector(w.now)
	for range 2 {
		play(w, 1, nodes...)
		for _, n := range nodes {
			assert.Assert(t, n.Over("s", "flood") && !n.Over("s", "small"))
		}
	}
	assert.Equal(t, w.replicas["c0"].List()[0].Gateways, uint32(2))
}

// Guards against replicas that are never asked, as those before them in the order don't answer and are asked
// again before the turn comes to these: most replicas may be of an earlier release during an update.
func TestLastReplicaInTheOrderIsReached(t *testing.T) {
	w := newNetwork(19)
	n := w.node("g", 1)
	order := (&replicaOrder{}).order(w.now(), "s", w.addresses())
	for _, r := range order[:len(order)-1] {
		w.down[r] = true
	}
	play(w, 5, n)
	assert.Equal(t, source(n), sourceTotals)
}

// Guards against a gateway that calls every replica each second while none answers.
func TestCallsAreBoundedWhileNoReplicaAnswers(t *testing.T) {
	w := newNetwork(19)
	n := w.node("g", 1)
	for _, r := range w.addresses() {
		w.down[r] = true
	}
	const seconds = 20
	play(w, seconds, n)
	failed := n.metrics.Registry.Get("gateway.team_shares.reports_failed").(metrics.Counter).Count()
	// Each replica once in failureBackoff, and attemptsPerReport a second in between.
	most := int64(seconds/5*19 + seconds*attemptsPerReport)
	assert.Assert(t, failed > 0 && failed <= most, "%d calls", failed)
}

// Guards against a gateway that is cut off from all replicas and goes on with old sums for ever, or has no
// shares at all.
func TestCutOffGatewayUsesItsOwnCounts(t *testing.T) {
	w := newNetwork(3)
	cut, other := w.node("g0", 40), w.node("g1", 40)
	play(w, 2, cut, other)
	for _, r := range w.addresses() {
		w.down[r] = true
	}
	play(w, 3, cut)
	assert.Equal(t, source(cut), sourceTotals, "sums of up to %s of age aren't used", totalsLifetime)
	play(w, 3, cut)
	assert.Equal(t, source(cut), sourceOwn)
	assert.Assert(t, cut.Over("s", "flood") && !cut.Over("s", "small"))
	own := cut.Dump().([]dumpView)[0]
	assert.Equal(t, own.Level, 40.0*30*windows, "not that of 40 gateways like this one")
	clear(w.down)
	play(w, 7, cut, other)
	assert.Equal(t, source(cut), sourceTotals)
}

// Guards against replicas that are asked in another order by each gateway, so that none has the sums of all.
func TestGatewaysAgreeOnTheReplica(t *testing.T) {
	known := []string{"a:1", "b:1", "c:1", "d:1", "e:1"}
	first := map[string]int{}
	for i := range 1000 {
		service := fmt.Sprint("s", i)
		var o replicaOrder
		order := o.order(start, service, known)
		reversed := slices.Clone(known)
		slices.Reverse(reversed)
		assert.DeepEqual(t, (&replicaOrder{}).order(start, service, reversed), order)
		first[order[0]]++
		o.record(start, order[0], false, known)
		assert.DeepEqual(t, o.order(start, service, known), append(slices.Clone(order[1:]), order[0]))
		assert.DeepEqual(t, o.order(start.Add(failureBackoff), service, known), order)
		o.record(start, order[0], false, nil)
		assert.Assert(t, len(o.failedAt) <= 1)
	}
	for r, n := range first {
		assert.Assert(t, n > 120 && n < 280, "%s is first for %d of 1000 services", r, n)
	}
}

// Guards against a gateway without team shares that fails.
func TestNilNodeDoesNothing(t *testing.T) {
	var n *Node
	count(n, "a", 2, 1)
	n.Queued("s")
	n.Run(context.Background())
	assert.Assert(t, !n.Over("s", "a"))
	assert.Equal(t, len(n.Dump().([]dumpView)), 0)
}

// Guards against callers that wait for a report: a replica that doesn't answer must hold up no request, nor
// keep the gateway from stopping.
func TestNoRequestWaitsForAReport(t *testing.T) {
	asked := make(chan struct{}, 100)
	n := NewNode(Options{
		ID: "g", Log: log.NewNopLogger(), Now: time.Now, Metrics: kernel.NewMetrics(),
		Replicas: func() []string { return []string{"c"} }, Gateways: func() int { return 1 },
		Dial: func(context.Context, string) drpc.Conn { return silentConn{asked: asked} },
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); n.Run(ctx) }()
	n.Refused("s", "a", 0, "busy")
	select {
	case <-asked:
	case <-time.After(10 * time.Second):
		t.Fatal("no report is sent as contention begins")
	}
	began := time.Now()
	for range 1000 {
		count(n, "a", 10, 3)
		n.Over("s", "a")
	}
	assert.Assert(t, time.Since(began) < 5*time.Second)
	cancel()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the node doesn't stop")
	}
}

// silentConn is a connection to a replica that doesn't answer.
type silentConn struct {
	replicaConn
	asked chan struct{}
}

func (c silentConn) Invoke(ctx context.Context, _ string, _ drpc.Encoding, _, _ drpc.Message) error {
	c.asked <- struct{}{}
	<-ctx.Done()
	return ctx.Err()
}
