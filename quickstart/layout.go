package quickstart

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"time"
)

// Layout names the failure domains, team, services and pools of a deployment.
type Layout struct {
	Domains []string
	Team    string
	// ModelService and PlainService are the services; their upstreams are
	// named after the pools.
	ModelService, ModelPool string
	PlainService, PlainPool string
}

// Idukki returns the layout of a clock auction: a model service that describes
// lots, and a plain service for bids, which must not run twice.
func Idukki() Layout {
	return Layout{
		Domains: []string{"hall-a", "hall-b", "hall-c"}, Team: "growers",
		ModelService: "pushpa-lm", ModelPool: "lm",
		PlainService: "clock-core", PlainPool: "clock",
	}
}

// Karaganda returns the layout of a lift service: a model service that summarizes
// repairs, and a plain service for status pings, which must not run twice.
func Karaganda() Layout {
	return Layout{
		Domains: []string{"hall-north", "hall-south", "hall-grain"}, Team: "mechanics",
		ModelService: "repair-llm", ModelPool: "llm",
		PlainService: "yard-status", PlainPool: "yard",
	}
}

// Rows returns the layout's table rows as TSV: two pools, an engine service, an
// urgent plain service and one team.
func (l Layout) Rows() string { return l.rows(defaultPlainSlots, defaultPlainTimeout) }

// rows returns the rows with the given slots and timeout of the plain service. Its
// queue holds at least as many requests as it has slots.
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

// minPlainQueue is the smallest max_queue of the plain pool, equal to the column's
// default.
const minPlainQueue = 64

// domain returns the failure domain of the i-th part of a role or pool.
func (l Layout) domain(i int) string { return l.Domains[i%len(l.Domains)] }
