package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/snipereach/snipereach/quickstart"
)

// Parameters of the urgent measurement. The upstream's capacity is slots divided by
// work. One slot in ten is reserved for urgent calls; bulk calls get the rest.
const (
	urgentSlots    = 20
	urgentWork     = 20 * time.Millisecond
	urgentPerSec   = 50
	bulkPercent    = 150
	urgentIdleConn = 512
)

// compareUrgent sends urgent calls at a steady rate, first alone and then along with
// bulk calls at bulkPercent of the upstream's capacity, both open-loop.
func compareUrgent(ctx context.Context, d time.Duration) error {
	sys, err := quickstart.Start(ctx, quickstart.Options{Log: log.NewNopLogger(), PlainSlots: urgentSlots, PlainWork: urgentWork})
	if err != nil {
		return err
	}
	defer sys.Stop()
	if err := sys.WaitReady(ctx); err != nil {
		return err
	}
	path := callPath{name: "full", url: serviceURL(sys), key: quickstart.TeamKey}
	capacity := float64(urgentSlots) / urgentWork.Seconds()
	openLoop(path, "urgent", urgentPerSec, d/4)
	idle := openLoop(path, "urgent", urgentPerSec, 2*d)
	var bulk *figures
	var wg sync.WaitGroup
	wg.Go(func() { bulk = openLoop(path, "batch", capacity*bulkPercent/100, 2*d) })
	loaded := openLoop(path, "urgent", urgentPerSec, 2*d)
	wg.Wait()
	fmt.Printf("\nurgent %d/s beside bulk at %d%% of %.0f/s\n", urgentPerSec, bulkPercent, capacity)
	for _, row := range []struct {
		name string
		f    *figures
	}{{"urgent, idle", idle}, {"urgent, beside bulk", loaded}, {"bulk", bulk}} {
		fmt.Printf("%-20s answered %6d  refused or failed %6d  p50 %7dµs  p99 %7dµs\n",
			row.name, row.f.latency.TotalCount(), row.f.failed, row.f.p50(), row.f.p99())
	}
	fmt.Printf("urgent p99 beside bulk / idle: %.2f\n", float64(loaded.p99())/float64(idle.p99()))
	return nil
}

// openLoop sends requests at a rate with exponential gaps, without waiting for answers.
// Latency is measured from the intended start, so that the delay of a sender that falls
// behind is included (no coordinated omission).
func openLoop(path callPath, priority string, perSecond float64, d time.Duration) *figures {
	client := newClient(urgentIdleConn)
	defer client.CloseIdleConnections()
	gaps := rand.New(rand.NewPCG(1, uint64(len(priority))))
	total := newFigures()
	total.time = d
	var mu sync.Mutex
	var wg sync.WaitGroup
	begin := time.Now()
	for at := time.Duration(0); at < d; at += time.Duration(gaps.ExpFloat64() / perSecond * float64(time.Second)) {
		due := begin.Add(at)
		time.Sleep(time.Until(due))
		wg.Go(func() { recordCall(client, path, priority, due, total, &mu) })
	}
	wg.Wait()
	return total
}

func recordCall(client *http.Client, path callPath, priority string, due time.Time, total *figures, mu *sync.Mutex) {
	ok := sendRequest(client, path, priority)
	took := time.Since(due).Microseconds()
	mu.Lock()
	defer mu.Unlock()
	if !ok {
		total.failed++
		return
	}
	_ = total.latency.RecordValue(took)
}
