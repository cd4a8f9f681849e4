// Command streams measures the resident memory that an open stream takes in an entry
// and an agent. It acts as the upstream, opens and holds streams through a running
// entry, and reads the resident sizes of the processes from /proc.
//
// The entry and the agent are separate processes, which must be started beforehand;
// docs/design/load.md gives the settings and the commands.
package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/snipereach/snipereach/kernel"
)

type options struct {
	Listen  string        `long:"listen" description:"address of the upstream that this program stands in for" default:"127.0.0.1:9001"`
	Entry   string        `long:"entry" description:"address of the entry for callers" default:"127.0.0.1:8080"`
	Key     string        `long:"key" description:"bearer key of a team" required:"yes"`
	Model   string        `long:"model" description:"model of the engine service" default:"lm"`
	Streams []int         `long:"streams" description:"numbers of open streams, rising" default:"100" default:"1000" default:"5000"`
	Process []string      `long:"process" description:"a process to watch, NAME=PID"`
	Settle  time.Duration `long:"settle" description:"wait before a size is read" default:"3s"`
	Ready   time.Duration `long:"ready" description:"longest wait for the first stream" default:"20s"`
}

var errStream = errors.New("stream was not opened")

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(kernel.ExitSettings)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "streams:", err)
		os.Exit(kernel.ExitFailed)
	}
}

func run(o options) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	lis, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return err
	}
	upstream := &http.Server{Handler: upstreamRoutes(), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = upstream.Serve(lis) }()
	defer upstream.Close()
	if err := waitFirstStream(ctx, o); err != nil {
		return err
	}
	return measure(ctx, o)
}

// upstreamRoutes returns the handler of an engine that sends one event of each stream
// and then holds it open.
func upstreamRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		kernel.WriteJSON(w, http.StatusOK, map[string]int{"slots": 1 << 20})
	})
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, "data: {}\n\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	return mux
}

func waitFirstStream(ctx context.Context, o options) error {
	end := time.Now().Add(o.Ready)
	for {
		one, cancel := context.WithCancel(ctx)
		err := openStream(one, o)
		cancel()
		if err == nil || time.Now().After(end) {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func measure(ctx context.Context, o options) error {
	time.Sleep(o.Settle)
	idle, err := residentSizes(o.Process)
	if err != nil {
		return err
	}
	fmt.Printf("%8s", "streams")
	for _, p := range o.Process {
		name, _, _ := strings.Cut(p, "=")
		fmt.Printf("%14s %16s", name, "a stream")
	}
	fmt.Println()
	held, err := 0, error(nil)
	for _, n := range append([]int{0}, o.Streams...) {
		if held, err = openStreams(ctx, o, held, n); err != nil {
			return err
		}
		time.Sleep(o.Settle)
		now, err := residentSizes(o.Process)
		if err != nil {
			return err
		}
		fmt.Printf("%8d", n)
		for i, kb := range now {
			fmt.Printf("%11d KB", kb)
			if n > 0 {
				fmt.Printf(" %13.1f KB", float64(kb-idle[i])/float64(n))
			} else {
				fmt.Printf("%17s", "")
			}
		}
		fmt.Println()
	}
	return nil
}

func openStreams(ctx context.Context, o options, have, want int) (int, error) {
	for ; have < want; have++ {
		if err := openStream(ctx, o); err != nil {
			return have, fmt.Errorf("stream %d: %w", have+1, err)
		}
	}
	return have, nil
}

// openStream opens a stream that lasts until the context ends, and waits for its first
// event.
func openStream(ctx context.Context, o options) error {
	body := `{"model":` + strconv.Quote(o.Model) + `,"stream":true,"max_tokens":1,"messages":[]}`
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.Entry+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+o.Key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = resp.Body.Close() })
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: status %d", errStream, resp.StatusCode)
	}
	_, err = bufio.NewReaderSize(resp.Body, 16).ReadString('\n')
	return err
}

// residentSizes returns the resident size of each process, in KB.
func residentSizes(processes []string) ([]int, error) {
	var list []int
	for _, p := range processes {
		_, pid, _ := strings.Cut(p, "=")
		text, err := os.ReadFile("/proc/" + pid + "/status")
		if err != nil {
			return nil, err
		}
		_, rest, _ := strings.Cut(string(text), "VmRSS:")
		var kb int
		if _, err := fmt.Sscan(rest, &kb); err != nil {
			return nil, err
		}
		list = append(list, kb)
	}
	return list, nil
}
