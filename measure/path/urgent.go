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

// The upstream of the urgent measurement: its capacity is slots / work. One
// slot in ten is kept for urgent calls, so bulk calls get the rest.
const (
	urgentSlots    = 20
	urgentWork     = 20 * time.Millisecond
	urgentPerSec   = 50
	bulkPercent    = 150
	urgentIdleConn = 512
)

// compareUrgent sends urgent calls at a steady rate, alone and beside bulk calls
// at 150% of the upstream's capacity, both open-loop to the same upstream.
func compareUrgent(ctx context.Context, d time.Duration) error {
	sys, err := quickstart.Start(ctx, quickstart.Options{Log: log.NewNopLogger(), PlainSlots: urgentSlots, PlainWork: urgentWork})
	if err != nil {
		return err
	}
	defer sys.Stop()
	if err := sys.WaitReady(ctx); err != nil {
		return err
	}
	w := way{name: "full", url: serviceURL(sys), key: quickstart.TeamKey}
	capacity := float64(urgentSlots) / urgentWork.Seconds()
	openLoop(w, "urgent", urgentPerSec, d/4)
	idle := openLoop(w, "urgent", urgentPerSec, 2*d)
	var bulk *figures
	var wg sync.WaitGroup
	wg.Go(func() { bulk = openLoop(w, "batch", capacity*bulkPercent/100, 2*d) })
	loaded := openLoop(w, "urgent", urgentPerSec, 2*d)
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

// openLoop sends requests at a rate with exponential gaps, whatever becomes of
// the earlier ones. Latency counts from the intended start, so that a sender
// that falls behind shows.
func openLoop(w way, priority string, perSecond float64, d time.Duration) *figures {
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
		wg.Go(func() { record(client, w, priority, due, total, &mu) })
	}
	wg.Wait()
	return total
}

func record(client *http.Client, w way, priority string, due time.Time, total *figures, mu *sync.Mutex) {
	ok := call(client, w, priority)
	took := time.Since(due).Microseconds()
	mu.Lock()
	defer mu.Unlock()
	if !ok {
		total.failed++
		return
	}
	_ = total.latency.RecordValue(took)
}
