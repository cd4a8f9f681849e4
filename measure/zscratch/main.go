package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"reflect"
	"time"

	"github.com/snipereach/snipereach/placement"
	"github.com/snipereach/snipereach/placement/trace"
	"golang.org/x/sync/errgroup"
)

const window = 30 * time.Second

// offlineHorizons are tried by the planner that sees the trace; the best counts.
var offlineHorizons = []time.Duration{2 * time.Minute, 5 * time.Minute, 15 * time.Minute, 30 * time.Minute, time.Hour}

// repackPeriods are tried by the naive baseline; the best counts.
var repackPeriods = []time.Duration{10 * time.Minute, 30 * time.Minute, 2 * time.Hour, 6 * time.Hour}

// user is a trace with the weights by which it is judged.
type user struct {
	name string
	kind trace.Kind
	skew float64
	move float64
}

// The trust weighs skew more, the lift service moves. The other traces are judged
// by the weights of the user that is closer.
var users = []user{
	{"auction trust", trace.Auction, 4, 1},
	{"lift service", trace.Lift, 1, 4},
	{"stationary", trace.Stationary, 4, 1},
	{"adversarial", trace.Adversarial, 1, 4},
	{"noisy counters", trace.Noisy, 4, 1},
}

// size is a group with what its store and experts cost.
type size struct {
	shape placement.Shape
	bytes float64
	rate  float64
	hours float64
	from  float64
}

var sizes = map[string]size{
	"today": {placement.Shape{Ranks: 8, Experts: 64, Layers: 8, Slots: 9}, 44e6, 0.5e9, 24, 0},
	"large": {placement.Shape{Ranks: 32, Experts: 256, Layers: 58, Slots: 9}, 44e6, 2e9, 3, 5},
}

func (z size) cost(u user) placement.Cost {
	return placement.Cost{
		SkewWeight: u.skew, MoveWeight: u.move,
		ExpertBytes: z.bytes, StoreRate: z.rate, StepTime: 5 * time.Millisecond,
	}
}

func short(d time.Duration) string { return d.String() }
func newTrace(z size, k trace.Kind, seed uint64) *trace.Trace {
	return trace.New(trace.Params{
		Kind: k, Experts: z.shape.Experts, Layers: z.shape.Layers,
		Window: window, Windows: int(z.hours * float64(time.Hour) / float64(window)), Seed: seed,
		Start: time.Duration(z.from * float64(time.Hour)),
	})
}

func mk(spec string) *run {
	switch {
	case strings.HasPrefix(spec, "offline"):
		d, _ := time.ParseDuration(spec[7:])
		return &run{name: spec, planner: &offline{horizon: d, window: window}}
	case strings.HasPrefix(spec, "repack"):
		return &run{name: spec, planner: &placement.Repack{PeriodSeconds: 1800}}
	}
	p := placement.NewIncremental()
	for _, kv := range strings.Split(spec, ",") {
		k, v, ok := strings.Cut(kv, "=")
		if !ok { continue }
		f := reflect.ValueOf(p).Elem().FieldByName(k)
		switch f.Kind() {
		case reflect.Bool: f.SetBool(v == "true")
		case reflect.Slice:
			var l []float64
			for _, x := range strings.Split(v, "+") { if x == "" { continue }; y, _ := strconv.ParseFloat(x, 64); l = append(l, y) }
			f.Set(reflect.ValueOf(l))
		default:
			y, err := strconv.ParseFloat(v, 64); if err != nil { panic(err) }
			f.SetFloat(y)
		}
	}
	return &run{name: spec, planner: p}
}

// args: size kinds hours from seeds specs...
func main() {
	a := os.Args
	z := sizes[a[1]]
	z.hours, _ = strconv.ParseFloat(a[3], 64)
	z.from, _ = strconv.ParseFloat(a[4], 64)
	n, _ := strconv.Atoi(a[5])
	for _, u := range users {
		if !strings.Contains(a[2], string(u.kind)) { continue }
		all := make([][]result, n)
		var g errgroup.Group
		g.SetLimit(3)
		for i, seed := range trace.TuningSeeds(u.kind)[:n] {
			g.Go(func() error {
				var rs []*run
				for _, s := range a[6:] { rs = append(rs, mk(s)) }
				all[i] = simulate(z.shape, z.cost(u), newTrace(z, u.kind, seed), rs)
				return nil
			})
		}
		g.Wait()
		fmt.Println(u.name)
		for _, r := range totals(all)[1:] {
			fmt.Printf("%7.3f %7.3f %8.0f %8d J %8.0f %v  %s\n", r.p50, r.p95, r.obj.Lost.Seconds(), r.obj.Moves, r.j, r.slowest.Round(time.Millisecond), r.name)
		}
		if os.Getenv("DUMP") != "" {
			tr := newTrace(z, u.kind, trace.TuningSeeds(u.kind)[0])
			prev := tr.Load(0)
			for w, v := range all[0][1].skews {
				cur := tr.Load(w)
				d := 0.0
				for i := range cur { d += max(cur[i]-prev[i], 0) }
				prev = cur
				mark := ""
				if d/(64000*8) > 0.04 { mark = fmt.Sprintf("jump %.2f", d/(64000*8)) }
				rs := ""
				for _, r := range tr.Reports(w) { rs += fmt.Sprint(" ", r.Window) }
				if v > 1.06 || mark != "" { fmt.Printf("w %d %.3f %s   reports%s\n", w, v, mark, rs) }
			}
		}
		if os.Getenv("HOURS") != "" {
			for _, r := range all[0][1:] {
				fmt.Print(r.name)
				per := int(time.Hour / window)
				for h := 0; h*per < len(r.skews); h++ {
					s := 0.0
					for _, v := range r.skews[h*per:min((h+1)*per, len(r.skews))] { s += v - 1 }
					fmt.Printf(" %.0f", s*30)
				}
				fmt.Println()
			}
		}
	}
}
