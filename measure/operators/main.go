// Command operators measures latencies seen by operators, on a small system in one
// process on loopback: of an edit, which is answered once the row is in force at every
// entry, also while an entry dies; and of a drain, after which an upstream must get no
// more requests.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-kit/log"
	"github.com/jessevdk/go-flags"

	"github.com/snipereach/snipereach/operators"
	"github.com/snipereach/snipereach/quickstart"
)

type options struct {
	Edits  int `long:"edits" default:"200" description:"edits of each measurement"`
	Limit  int `long:"limit" default:"60" description:"longest time of the whole run, in seconds"`
	Drains int `long:"drains" default:"5" description:"upstreams that are drained under load"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(o.Limit)*time.Second)
	defer cancel()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "operators:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	if err := measureEdits(ctx, "3 entries up", o.Edits, nil); err != nil {
		return err
	}
	kill := func(s *quickstart.System, n int) {
		if n == o.Edits/2 {
			s.Entries[2].Stop()
		}
	}
	if err := measureEdits(ctx, "an entry dies midway", o.Edits, kill); err != nil {
		return err
	}
	return measureDrains(ctx, o.Drains)
}

func startSystem(ctx context.Context, opts quickstart.Options) (*quickstart.System, error) {
	opts.Log = log.NewNopLogger()
	s, err := quickstart.Start(ctx, opts)
	if err != nil {
		return nil, err
	}
	return s, s.WaitReady(ctx)
}

// measureEdits sends edits in sequence, and calls before with the number of each one
// before it is sent.
func measureEdits(ctx context.Context, name string, edits int, before func(*quickstart.System, int)) error {
	s, err := startSystem(ctx, quickstart.Options{})
	if err != nil {
		return err
	}
	defer s.Stop()
	times := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	lagged := 0
	for n := range edits {
		if before != nil {
			before(s, n)
		}
		began := time.Now()
		f, err := sendEdit(ctx, s, n)
		if err != nil {
			return err
		}
		if f.InForce < f.Entries {
			lagged++
		}
		_ = times.RecordValue(time.Since(began).Microseconds())
	}
	fmt.Printf("%-22s %d edits: p50 %.1f ms, p99 %.1f ms, longest %.1f ms; %d answers named an entry that lags\n", name, edits,
		millis(times.ValueAtQuantile(50)), millis(times.ValueAtQuantile(99)), millis(times.Max()), lagged)
	return nil
}

func millis(us int64) float64 { return float64(us) / 1000 }

func sendEdit(ctx context.Context, s *quickstart.System, n int) (operators.Propagation, error) {
	body := fmt.Sprintf(`{"columns":{"slots":"%d"}}`, n+8)
	req, err := http.NewRequestWithContext(ctx, "PUT", "http://"+s.Entries[0].OperatorAddress()+"/v1/table/pool/lm", strings.NewReader(body))
	if err != nil {
		return operators.Propagation{}, err
	}
	req.Header.Set("Authorization", "Bearer "+quickstart.OperatorKey)
	req.Header.Set("If-Match", fmt.Sprintf(`"%d"`, n+1))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return operators.Propagation{}, err
	}
	defer resp.Body.Close()
	var e operators.EditResult
	if resp.StatusCode != http.StatusOK {
		return e.Propagation, fmt.Errorf("edit %d: %s", n, resp.Status)
	}
	return e.Propagation, json.NewDecoder(resp.Body).Decode(&e)
}

// measureDrains drains upstreams in sequence while callers send through all entries
// without a pause.
func measureDrains(ctx context.Context, drains int) error {
	s, err := startSystem(ctx, quickstart.Options{Engines: drains + 1})
	if err != nil {
		return err
	}
	defer s.Stop()
	load, stop := context.WithCancel(ctx)
	defer stop()
	var callers sync.WaitGroup
	var mu sync.Mutex
	answered, failed := 0, 0
	for n := range 24 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for load.Err() == nil {
				ok := sendCall(ctx, s, n%len(s.Entries))
				mu.Lock()
				if ok {
					answered++
				} else {
					failed++
				}
				mu.Unlock()
			}
		}()
	}
	late := 0
	for n := range drains {
		time.Sleep(300 * time.Millisecond)
		if err := drainUpstream(ctx, s, fmt.Sprintf("lm-%d", n+1)); err != nil {
			return err
		}
		// Requests that the agent had accepted before the drain may still start.
		time.Sleep(100 * time.Millisecond)
		began := len(s.Engines[n].Runs())
		time.Sleep(2 * time.Second)
		late += len(s.Engines[n].Runs()) - began
	}
	stop()
	callers.Wait()
	fmt.Printf("%d drains under load: %d calls answered whole, %d not; %d runs began at a drained upstream later than 100 ms after the answer\n",
		drains, answered, failed, late)
	return nil
}

func drainUpstream(ctx context.Context, s *quickstart.System, id string) error {
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+s.Entries[0].OperatorAddress()+"/v1/drain/"+id, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+quickstart.OperatorKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("drain of %s: %s", id, resp.Status)
	}
	return nil
}

const callBody = `{"model":"pushpa-lm","max_tokens":4,"messages":[{"role":"user","content":"a lot of jasmine"}]}`

func sendCall(ctx context.Context, s *quickstart.System, entry int) bool {
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+s.Entries[entry].CallerAddress()+"/v1/chat/completions", strings.NewReader(callBody))
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+quickstart.TeamKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var v any
	return resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(&v) == nil
}
