// Command kills sends bids with idempotency keys through a whole system in one
// process while each part is killed and started again in turn, and then all parts
// of one failure domain at once. A bid without a final answer is sent again
// through another entry. It counts what must never happen: a bid that ran twice,
// an answer to another bid, and "not run" said of a bid that ran.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/jessevdk/go-flags"

	"github.com/snipereach/snipereach/fake"
	"github.com/snipereach/snipereach/quickstart"
)

type options struct {
	Down    float64 `long:"down" default:"1.5" description:"seconds for which a part is down"`
	Workers int     `long:"workers" default:"8" description:"bids in flight"`
}

// maxSendings bounds how often one bid is sent.
const maxSendings = 8

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "kills:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	ctx := context.Background()
	sys, err := quickstart.Start(ctx, quickstart.Options{Log: log.NewNopLogger(), Plains: 2, FakeDisks: true})
	if err != nil {
		return err
	}
	defer sys.Stop()
	if err := sys.WaitReady(ctx); err != nil {
		return err
	}
	b := &bench{sys: sys, client: &http.Client{Timeout: 10 * time.Second}}
	for _, e := range sys.Entries {
		b.addrs = append(b.addrs, e.CallerAddress())
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range o.Workers {
		wg.Go(func() { b.work(stop) })
	}
	down := time.Duration(o.Down * float64(time.Second))
	for _, name := range sys.Names() {
		if err := b.outage(ctx, down, name); err != nil {
			return err
		}
	}
	if err := b.outage(ctx, down, b.domain("hall-a")...); err != nil {
		return err
	}
	close(stop)
	wg.Wait()
	return b.report()
}

type bench struct {
	sys    *quickstart.System
	client *http.Client
	addrs  []string

	bids, answered, open           atomic.Int64
	sendings, unknown, notRun, cut atomic.Int64
	crossed, falseNotRun           atomic.Int64
}

// domain lists the parts that stand in a failure domain.
func (b *bench) domain(name string) []string {
	var list []string
	for _, n := range b.sys.Names() {
		if p, ok := b.sys.Part(n); ok && p.FailureDomain == name {
			list = append(list, n)
		}
	}
	return list
}

func (b *bench) outage(ctx context.Context, down time.Duration, names ...string) error {
	fmt.Println("kill", strings.Join(names, ", "))
	for _, n := range names {
		b.sys.Kill(n)
	}
	time.Sleep(down)
	for _, n := range names {
		if err := b.sys.StartPart(ctx, n); err != nil {
			return err
		}
	}
	time.Sleep(2 * down)
	return nil
}

func (b *bench) work(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
			b.bid(fmt.Sprint("bid-", b.bids.Add(1)))
		}
	}
}

// bid sends one bid until it has a final answer.
func (b *bench) bid(key string) {
	at := rand.IntN(len(b.addrs))
	for n := range maxSendings {
		if b.send(b.addrs[(at+n)%len(b.addrs)], key) {
			b.answered.Add(1)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	b.open.Add(1)
}

func (b *bench) ran(key string) int {
	runs := 0
	for _, p := range b.sys.Plains {
		runs += p.Runs()[key]
	}
	return runs
}

// send returns true if the bid was answered.
func (b *bench) send(addr, key string) bool {
	b.sendings.Add(1)
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/services/clock-core/confirm", strings.NewReader("{}"))
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+quickstart.TeamKey)
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set(fake.HeaderRunKey, key)
	resp, err := b.client.Do(req)
	if err != nil {
		b.cut.Add(1)
		return false
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		b.cut.Add(1)
		return false
	}
	if resp.StatusCode == http.StatusOK {
		var a fake.PlainAnswer
		if json.Unmarshal(text, &a) != nil || a.Key != key {
			b.crossed.Add(1)
		}
		return true
	}
	if resp.Header.Get("X-Request-Outcome") != "not-run" {
		b.unknown.Add(1)
		return false
	}
	b.notRun.Add(1)
	if b.ran(key) > 0 {
		b.falseNotRun.Add(1)
	}
	return false
}

func (b *bench) report() error {
	doubled := 0
	runs := map[string]int{}
	for _, p := range b.sys.Plains {
		for k, n := range p.Runs() {
			runs[k] += n
		}
	}
	for _, n := range runs {
		if n > 1 {
			doubled++
		}
	}
	fmt.Printf("bids %d, answered %d, without a final answer %d; sendings %d: unknown %d, not run %d, cut %d\n",
		b.bids.Load(), b.answered.Load(), b.open.Load(), b.sendings.Load(), b.unknown.Load(), b.notRun.Load(), b.cut.Load())
	fmt.Printf("ran twice %d, crossed answers %d, false \"not run\" %d\n", doubled, b.crossed.Load(), b.falseNotRun.Load())
	if doubled+int(b.crossed.Load()+b.falseNotRun.Load()) > 0 {
		return fmt.Errorf("a promise was broken")
	}
	return nil
}
