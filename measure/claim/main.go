// Command claim measures the latency that claiming an idempotency key adds to a call,
// and the outcomes of calls with keys while hosts are lost. It runs seven entries in
// three failure domains in one process on loopback.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-kit/log"
	"github.com/jessevdk/go-flags"

	"github.com/snipereach/snipereach/entry"
	"github.com/snipereach/snipereach/quickstart"
)

type options struct {
	Seconds float64 `long:"seconds" default:"3" description:"time of each measurement"`
	Durable int     `long:"durable" description:"first entries that keep their claims in a data folder" default:"-1"`
}

// entries is the number of entries, assigned to three failure domains in turn.
const entries = 7

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(time.Duration(o.Seconds*float64(time.Second)), o.Durable); err != nil {
		fmt.Fprintln(os.Stderr, "claim:", err)
		os.Exit(1)
	}
}

func run(d time.Duration, durable int) error {
	ctx := context.Background()
	sys, err := quickstart.Start(ctx, quickstart.Options{
		Log: log.NewNopLogger(), Entries: entries, Controls: 3, PlainSlots: 512, PlainWork: -1, DurableClaimEntries: durable,
	})
	if err != nil {
		return err
	}
	defer sys.Stop()
	if err := sys.WaitReady(ctx); err != nil {
		return err
	}
	b := &bench{sys: sys, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	defer b.client.CloseIdleConnections()
	measureLatency(b, d)
	if err := measureLosses(ctx, b, d); err != nil {
		return err
	}
	return measureRestartAll(ctx, b, d)
}

// bench sends calls through the running entries in turn.
type bench struct {
	sys    *quickstart.System
	client *http.Client
	next   atomic.Uint64
}

// sendRequest sends one request and returns "answered", "cut", or the reason and
// outcome of the refusal.
func (b *bench) sendRequest(targets []*entry.Entry, keyed bool) string {
	n := b.next.Add(1)
	e := targets[n%uint64(len(targets))]
	req, err := http.NewRequest(http.MethodPost, "http://"+e.CallerAddress()+"/services/clock-core/confirm", strings.NewReader("{}"))
	if err != nil {
		return err.Error()
	}
	req.Header.Set("Authorization", "Bearer "+quickstart.TeamKey)
	if keyed {
		req.Header.Set("Idempotency-Key", fmt.Sprint("bid-", n))
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return "cut"
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	if resp.StatusCode == http.StatusOK {
		return answered
	}
	var p struct{ Reason, Outcome string }
	_ = json.Unmarshal(text, &p)
	return p.Reason + " " + p.Outcome
}

const answered = "answered"

// measureLatency compares calls with and without a key, in turns.
func measureLatency(b *bench, d time.Duration) {
	fmt.Printf("%-8s %11s %10s %10s %12s\n", "key", "concurrency", "p50", "p99", "requests/s")
	for _, concurrency := range []int{1, 32} {
		for _, keyed := range []bool{false, true} {
			h, _ := b.load(b.sys.Entries, concurrency, keyed, d)
			fmt.Printf("%-8v %11d %8dµs %8dµs %12.0f\n", keyed, concurrency,
				h.ValueAtQuantile(50), h.ValueAtQuantile(99), float64(h.TotalCount())/d.Seconds())
		}
	}
}

// load keeps concurrency calls in flight for a time and returns their latencies in
// microseconds and the number of each answer.
func (b *bench) load(targets []*entry.Entry, concurrency int, keyed bool, d time.Duration) (*hdrhistogram.Histogram, map[string]int) {
	latencies, answers := hdrhistogram.New(1, 60_000_000, 3), map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for range concurrency {
		wg.Go(func() {
			for time.Now().Before(end) {
				began := time.Now()
				answer := b.sendRequest(targets, keyed)
				mu.Lock()
				answers[answer]++
				_ = latencies.RecordValue(time.Since(began).Microseconds())
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return latencies, answers
}

// measureLosses kills and restarts entries, and prints the answers to calls with keys
// through those that are up.
func measureLosses(ctx context.Context, b *bench, d time.Duration) error {
	printAnswers := func(what string, down ...int) {
		var running []*entry.Entry
		for i, e := range b.sys.Entries {
			if !contains(down, i) {
				running = append(running, e)
			}
		}
		_, answers := b.load(running, 8, true, d)
		fmt.Printf("%-44s %s\n", what, summary(answers))
	}
	fmt.Println()
	printAnswers("all seven entries up")
	b.sys.Kill(entryName(6))
	printAnswers("one entry lost", 6)
	// Entries 1, 4 and 7 are in the first failure domain.
	b.sys.Kill(entryName(0))
	b.sys.Kill(entryName(3))
	printAnswers("a whole failure domain lost (three entries)", 0, 3, 6)
	b.sys.Kill(entryName(1))
	if err := b.sys.StartPart(ctx, entryName(1)); err != nil {
		return err
	}
	printAnswers("and one entry of another domain restarted", 0, 3, 6)
	printAnswers("the same, one measurement later", 0, 3, 6)
	return nil
}

// measureRestartAll restarts all entries together and prints the answers to calls with
// keys as soon as all entries accept calls.
func measureRestartAll(ctx context.Context, b *bench, d time.Duration) error {
	for i := range b.sys.Entries {
		b.sys.Kill(entryName(i))
	}
	for i := range b.sys.Entries {
		if err := b.sys.StartPart(ctx, entryName(i)); err != nil {
			return err
		}
	}
	if err := b.sys.WaitReady(ctx); err != nil {
		return err
	}
	for _, what := range []string{"all entries restarted together", "the same, one measurement later"} {
		_, answers := b.load(b.sys.Entries, 8, true, d)
		fmt.Printf("%-44s %s\n", what, summary(answers))
	}
	return nil
}

func entryName(i int) string { return fmt.Sprintf("entry-%d", i+1) }

func contains(list []int, n int) bool {
	for _, v := range list {
		if v == n {
			return true
		}
	}
	return false
}

// summary formats the share of each answer, most frequent first.
func summary(answers map[string]int) string {
	total := 0
	var kinds []string
	for k, n := range answers {
		total += n
		kinds = append(kinds, k)
	}
	sort.Slice(kinds, func(i, j int) bool { return answers[kinds[i]] > answers[kinds[j]] })
	var parts []string
	for _, k := range kinds {
		parts = append(parts, fmt.Sprintf("%s %.1f%%", k, 100*float64(answers[k])/float64(total)))
	}
	return fmt.Sprintf("%6d calls: %s", total, strings.Join(parts, ", "))
}
