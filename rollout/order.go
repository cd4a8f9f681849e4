package rollout

import "github.com/snipereach/snipereach/wire"

// Verbs of orders. Orders are idempotent, and a rank replies to each with its Status.
const (
	// VerbStatus requests the rank's status and changes nothing.
	VerbStatus = "status"
	// VerbAdopt sets the map of a rank that has started.
	VerbAdopt = "adopt"
	// VerbStage makes a rank load its weights of a map.
	VerbStage = "stage"
	// VerbArm makes a rank stop before a step until it knows the decision.
	VerbArm = "arm"
	// VerbCommit makes a rank use the armed map from the armed step on.
	VerbCommit = "commit"
	// VerbAbort makes a rank drop a map that will never be used.
	VerbAbort = "abort"
	// VerbCounters collects a rank's expert counters. The agent replies to it.
	VerbCounters = "counters"
)

// Order is the body of an order to a rank.
type Order struct {
	Group string `json:"group"`
	Rank  int    `json:"rank"`
	// Incarnation is the incarnation of the rank that the order is for. Another one
	// rejects it. Otherwise an arm or adopt order in flight during a restart could
	// change the new incarnation's state without the leader's knowledge.
	Incarnation uint64 `json:"incarnation"`
	// Epoch identifies the map.
	Epoch uint64 `json:"epoch"`
	// Base is the epoch of the map that a staged map replaces.
	Base uint64 `json:"base,omitempty"`
	// Step is the first step of the map. It is set on arm, commit and adopt.
	Step uint64 `json:"step,omitempty"`
	// Map is set on adopt and stage.
	Map *OrderMap `json:"map,omitempty"`
}

// OrderMap is an expert map in the form sent to engines.
type OrderMap struct {
	Ranks   int `json:"ranks"`
	Experts int `json:"experts"`
	Layers  int `json:"layers"`
	// SlotsPerRank is the number of experts that a rank holds in one layer.
	SlotsPerRank int `json:"slots_per_rank"`
	// Slots holds the expert in each slot, ordered by layer, rank and slot.
	Slots []int32 `json:"slots"`
}

func toOrderMap(g *wire.GroupMap) *OrderMap {
	return &OrderMap{
		Ranks: int(g.Ranks), Experts: int(g.Experts), Layers: int(g.Layers),
		SlotsPerRank: int(g.Slots), Slots: g.ExpertsInSlots,
	}
}

// Status is a rank's reply to an order. An epoch of 0 means none.
type Status struct {
	// Incarnation increases with each start of the rank.
	Incarnation uint64 `json:"incarnation"`
	// Seq increases with each reply of one incarnation.
	Seq uint64 `json:"seq"`
	// NoMap reports that the rank has no map and runs no steps.
	NoMap bool `json:"blank"`
	// Epoch is the epoch of the map used in the last step begun, or of the one
	// adopted since.
	Epoch uint64 `json:"epoch"`
	// NextStep is the next step that the rank will begin.
	NextStep uint64 `json:"next_step"`
	// StepMicros is the duration of a recent step in microseconds; 0 means unknown.
	StepMicros uint64 `json:"step_us"`
	// Loading is the epoch of the map whose weights are being loaded.
	Loading uint64 `json:"loading"`
	// Staged is the epoch of the map whose weights are loaded in addition to those in
	// use.
	Staged uint64 `json:"staged"`
	// Armed is the epoch of the map to switch to at ArmedStep. The rank stops before
	// that step until it knows the decision.
	Armed     uint64 `json:"armed"`
	ArmedStep uint64 `json:"armed_step"`
	// Decided reports that the armed map is committed.
	Decided bool `json:"decided"`
	// Refused is the reason why the order was rejected, or "".
	Refused string `json:"refused,omitempty"`
}
