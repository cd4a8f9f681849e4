//go:build review

package harness

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// ErrSignal is returned by a case that was ended by a signal.
var ErrSignal = errors.New("ended by a signal")

// Case is what a case has in hand.
type Case struct {
	Record *Record
	System *System
	// Trouble says whether the disruption is played.
	Trouble bool
	signals chan os.Signal
}

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Main runs a case: it reads the flags, ends all processes that were started, and exits with the code that the
// case returns.
func Main(run func(*Case) (int, error)) {
	out := flag.String("record", "record.txt", "file to write")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	r, err := NewRecord(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	os.Exit(runCase(r, *trouble, run))
}

func runCase(r *Record, trouble bool, run func(*Case) (int, error)) int {
	defer r.Close()
	sys, err := New(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	defer sys.Close()
	c := &Case{Record: r, System: sys, Trouble: trouble, signals: make(chan os.Signal, 1)}
	signal.Notify(c.signals, syscall.SIGTERM, syscall.SIGINT)
	r.Add("disruption: %v", trouble)
	code, err := run(c)
	if err != nil {
		r.Add("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = NotRun
	}
	r.Add("exit %d", code)
	return code
}

// WaitUntil waits until done returns true, at most for limit. It returns ErrSignal if the case must end.
func (c *Case) WaitUntil(limit time.Duration, done func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end) && !done(); {
		select {
		case <-c.signals:
			return ErrSignal
		case <-time.After(20 * time.Millisecond):
		}
	}
	return nil
}

// Sleep waits for d. It returns ErrSignal if the case must end.
func (c *Case) Sleep(d time.Duration) error {
	return c.WaitUntil(d, func() bool { return false })
}

// StartPlain starts control replicas, two gateways and three servers of the plain service, and waits until the
// directory names the gateways.
func (c *Case) StartPlain(unsafeTimeoutMs, slots int, work time.Duration) (gateways []*Process, servers []*Plain, err error) {
	const gatewayCount, serverCount = 2, 3
	s := c.System
	if err := s.StartControl(); err != nil {
		return nil, nil, err
	}
	if gateways, err = s.StartGateways(gatewayCount); err != nil {
		return nil, nil, err
	}
	if err := s.PutConfiguration(PlainConfiguration(7, unsafeTimeoutMs), 15*time.Second); err != nil {
		return nil, nil, err
	}
	for i := range serverCount {
		p, err := NewPlain(c.Record, fmt.Sprintf("i-7f3a91c%d", i), PlainName, i, slots, work)
		if err != nil {
			return nil, nil, err
		}
		s.KeepRegistered(p.Instance, p.Registration)
		servers = append(servers, p)
	}
	if err := s.AwaitGateways(Host, gatewayCount, 10*time.Second); err != nil {
		return nil, nil, err
	}
	return gateways, servers, c.Sleep(3 * time.Second)
}

// RunsOf returns how often the servers have run the request with an attempt ID.
func RunsOf(servers []*Plain, id string) (n int) {
	for _, p := range servers {
		n += p.Runs(id)
	}
	return n
}

// Whole reports whether an answer is the whole answer of a server of the plain service.
func (a *Answer) Whole() bool {
	return a.Err == nil && a.Status == 200 && a.Header.Get("X-Snipereach-Response-Signature") == "s."+a.ID && string(a.Body) == "answer to "+a.ID
}

// UnsafeRequest returns a request on the unsafe route.
func UnsafeRequest(deadline time.Duration) Request {
	return Request{Method: "POST", Host: Host, Path: UnsafePath + "2f", Key: Key, Deadline: deadline, Body: make([]byte, 600)}
}
