//go:build deps

// Package deps pins the libraries that parts under way will use.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/gonum/optimize/convex/lp"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg/draw"
	_ "pgregory.net/rapid"
)
