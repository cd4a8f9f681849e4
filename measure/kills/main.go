// Command kills sends requests with idempotency keys through a whole system in one
// process while each part in turn, and then all parts of one failure domain, are
// killed and restarted. Requests without a final answer are sent again through another
// entry. It counts violations of the guarantees: a request that ran twice, an answer
// to another request, and "not run" for a request that has run.
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

// maxSendings limits how often one bid is sent.
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
		wg.Go(func() { b.sendBids(stop) })
	}
	down := time.Duration(o.Down * float64(time.Second))
	for _, name := range sys.PartNames() {
		if err := b.killAndRestart(ctx, down, name); err != nil {
			return err
		}
	}
	if err := b.killAndRestart(ctx, down, b.partsOfDomain("hall-a")...); err != nil {
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

	bids, answered, unanswered     atomic.Int64
	sendings, unknown, notRun, cut atomic.Int64
	crossed, falseNotRun           atomic.Int64
}

// partsOfDomain returns the names of the parts in a failure domain.
func (b *bench) partsOfDomain(name string) []string {
	var list []string
	for _, n := range b.sys.PartNames() {
		if p, ok := b.sys.Part(n); ok && p.FailureDomain == name {
			list = append(list, n)
		}
	}
	return list
}

func (b *bench) killAndRestart(ctx context.Context, down time.Duration, names ...string) error {
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

func (b *bench) sendBids(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
			b.sendBid(fmt.Sprint("bid-", b.bids.Add(1)))
		}
	}
}

// sendBid sends a bid until it is answered, at most maxSendings times, each time
// through the next entry.
func (b *bench) sendBid(key string) {
	first := rand.IntN(len(b.addrs))
	for n := range maxSendings {
		if b.send(b.addrs[(first+n)%len(b.addrs)], key) {
			b.answered.Add(1)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	b.unanswered.Add(1)
}

func (b *bench) runCount(key string) int {
	runs := 0
	for _, p := range b.sys.Plains {
		runs += p.Runs()[key]
	}
	return runs
}

// send sends a bid once and reports whether it was answered.
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
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		b.cut.Add(1)
		return false
	}
	if resp.StatusCode == http.StatusOK {
		var a fake.PlainAnswer
		if json.Unmarshal(body, &a) != nil || a.Key != key {
			b.crossed.Add(1)
		}
		return true
	}
	if resp.Header.Get("X-Request-Outcome") != "not-run" {
		b.unknown.Add(1)
		return false
	}
	b.notRun.Add(1)
	if b.runCount(key) > 0 {
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
		b.bids.Load(), b.answered.Load(), b.unanswered.Load(), b.sendings.Load(), b.unknown.Load(), b.notRun.Load(), b.cut.Load())
	fmt.Printf("ran twice %d, crossed answers %d, false \"not run\" %d\n", doubled, b.crossed.Load(), b.falseNotRun.Load())
	if doubled+int(b.crossed.Load()+b.falseNotRun.Load()) > 0 {
		return fmt.Errorf("guarantees were violated")
	}
	return nil
}
