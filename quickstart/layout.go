package quickstart

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"time"
)

// Layout names a user's failure domains, services and pools.
type Layout struct {
	Domains []string
	Team    string
	// ModelService and PlainService are the services; their upstreams are
	// named after the pools.
	ModelService, ModelPool string
	PlainService, PlainPool string
}

// Idukki is the layout of the clock auction: lot descriptions, and bids that
// may run once.
func Idukki() Layout {
	return Layout{
		Domains: []string{"hall-a", "hall-b", "hall-c"}, Team: "growers",
		ModelService: "pushpa-lm", ModelPool: "lm",
		PlainService: "clock-core", PlainPool: "clock",
	}
}

// Karaganda is the layout of the lift service: repair summaries, and status
// pings that may run once.
func Karaganda() Layout {
	return Layout{
		Domains: []string{"hall-north", "hall-south", "hall-grain"}, Team: "mechanics",
		ModelService: "repair-llm", ModelPool: "llm",
		PlainService: "yard-status", PlainPool: "yard",
	}
}

// Rows returns the layout's rows: one team, an engine service and an urgent
// plain service.
func (l Layout) Rows() string { return l.rows(defaultPlainSlots, defaultPlainTimeout) }

// rows is Rows with as many slots at a plain service, at least as many
// requests that may wait, and the time that a request to it may take.
func (l Layout) rows(plainSlots int, plainTimeout time.Duration) string {
	digest := sha256.Sum256([]byte(TeamKey))
	return strings.Join([]string{
		"pool\t" + l.ModelPool + "\tslots=8",
		fmt.Sprintf("pool\t%s\tslots=%d\tmax_queue=%d", l.PlainPool, plainSlots, max(plainSlots, minPlainQueue)),
		"service\t" + l.ModelService + "\tkind=engine\tpool=" + l.ModelPool + "\tidempotent=yes",
		fmt.Sprintf("service\t%s\tkind=plain\tpool=%s\tpriority=urgent\ttimeout_ms=%d",
			l.PlainService, l.PlainPool, plainTimeout.Milliseconds()),
		"team\t" + l.Team + "\tkey_sha256=" + hex.EncodeToString(digest[:]) + "\tmax_priority=urgent",
		"",
	}, "\n")
}

// minPlainQueue is the least number of requests that may wait at a plain
// service: what the column's default would be.
const minPlainQueue = 64

// domain returns the failure domain of the i-th part of a kind.
func (l Layout) domain(i int) string { return l.Domains[i%len(l.Domains)] }
