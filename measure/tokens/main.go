// Command tokens measures the processor time that an agent and an entry add to each
// streamed token. It reads the same streams directly from the fake engines and through
// the full path, and divides the difference by the number of tokens.
package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/jessevdk/go-flags"

	"github.com/snipereach/snipereach/internal/meter"
	"github.com/snipereach/snipereach/quickstart"
)

type options struct {
	Tokens  int   `long:"tokens" default:"400" description:"tokens of one stream; the engine makes one in 5 ms"`
	Streams []int `long:"streams" default:"6" default:"12" default:"24" description:"streams at once; three engines run 24"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "tokens:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	ctx := context.Background()
	sys, err := quickstart.Start(ctx, quickstart.Options{Log: log.NewNopLogger()})
	if err != nil {
		return err
	}
	defer sys.Stop()
	if err := sys.WaitReady(ctx); err != nil {
		return err
	}
	direct := func(n int) string { return sys.Engines[n%len(sys.Engines)].URL() }
	full := func(int) string { return "http://" + sys.Entries[0].CallerAddress() }
	fmt.Printf("%8s %10s %14s %14s %14s\n", "streams", "tokens", "direct", "full path", "added a token")
	for _, n := range o.Streams {
		d, _ := readStreams(n, o.Tokens, direct)
		f, got := readStreams(n, o.Tokens, full)
		if got == 0 {
			return fmt.Errorf("%d streams: no token came", n)
		}
		per := func(t time.Duration) float64 { return meter.Micros(t) / float64(got) }
		fmt.Printf("%8d %10d %11.1f µs %11.1f µs %11.1f µs\n", n, got, per(d), per(f), per(f-d))
	}
	return nil
}

// readStreams reads streams concurrently and returns the processor time of the whole
// process and the number of tokens received.
func readStreams(streams, tokens int, url func(int) string) (time.Duration, int64) {
	before := meter.ProcessorTime()
	var got atomic.Int64
	var wg sync.WaitGroup
	for n := range streams {
		wg.Go(func() { got.Add(readStream(url(n), tokens)) })
	}
	wg.Wait()
	return meter.ProcessorTime() - before, got.Load()
}

func readStream(url string, tokens int) int64 {
	body := fmt.Sprintf(`{"model":"pushpa-lm","stream":true,"max_tokens":%d,"messages":[]}`, tokens)
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+quickstart.TeamKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var n int64
	for sc := bufio.NewScanner(resp.Body); sc.Scan(); {
		if strings.HasPrefix(sc.Text(), `data: {`) {
			n++
		}
	}
	return n
}
