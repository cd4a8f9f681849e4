package rollout

import "github.com/snipereach/snipereach/wire"

// Verbs of the orders that a rank takes. Each is idempotent, and each is
// answered with the rank's Status.
const (
	// VerbStatus changes nothing.
	VerbStatus = "status"
	// VerbAdopt gives the map in force to a rank that has just started.
	VerbAdopt = "adopt"
	// VerbStage makes a rank load the weights that a map asks of it.
	VerbStage = "stage"
	// VerbArm makes a rank stop before a step until it knows the decision.
	VerbArm = "arm"
	// VerbCommit tells that the map is used from the armed step on.
	VerbCommit = "commit"
	// VerbAbort tells that the map will never be used.
	VerbAbort = "abort"
	// VerbCounters collects a rank's expert counters; agents answer it.
	VerbCounters = "counters"
)

// Order is the body of an order to one rank.
type Order struct {
	Group string `json:"group"`
	Rank  int    `json:"rank"`
	// Incarnation is the life of the rank that is meant. Another life refuses
	// the order: an arm or adopt that was under way while the rank restarted
	// would otherwise bring the new life into a state that the leader believes
	// of the old one.
	Incarnation uint64 `json:"incarnation"`
	// Epoch names the map.
	Epoch uint64 `json:"epoch"`
	// Base is the epoch that a staged map follows.
	Base uint64 `json:"base,omitempty"`
	// Step is the first step of the map: arm, commit and adopt.
	Step uint64 `json:"step,omitempty"`
	// Map is set on adopt and stage.
	Map *OrderMap `json:"map,omitempty"`
}

// OrderMap is an expert map as an engine gets it.
type OrderMap struct {
	Ranks   int `json:"ranks"`
	Experts int `json:"experts"`
	Layers  int `json:"layers"`
	// SlotsPerRank is how many experts a rank holds in one layer.
	SlotsPerRank int `json:"slots_per_rank"`
	// Slots holds the expert in each slot: layer by layer, rank by rank, slot by
	// slot.
	Slots []int32 `json:"slots"`
}

func toOrderMap(g *wire.GroupMap) *OrderMap {
	return &OrderMap{
		Ranks: int(g.Ranks), Experts: int(g.Experts), Layers: int(g.Layers),
		SlotsPerRank: int(g.Slots), Slots: g.ExpertsInSlots,
	}
}

// Status is what a rank answers to each order.
type Status struct {
	// Incarnation grows with each start of the rank.
	Incarnation uint64 `json:"incarnation"`
	// Seq grows with each answer of one incarnation.
	Seq uint64 `json:"seq"`
	// Blank says that the rank has no map and runs no step.
	Blank bool `json:"blank"`
	// Epoch is the map of the last step begun, or adopted.
	Epoch uint64 `json:"epoch"`
	// NextStep is the next step that the rank will begin.
	NextStep uint64 `json:"next_step"`
	// StepMicros is the time of a recent step in microseconds; 0 is not known.
	StepMicros uint64 `json:"step_us"`
	// Loading is the map whose weights are being loaded.
	Loading uint64 `json:"loading"`
	// Staged is the map whose weights are loaded besides the one in use.
	Staged uint64 `json:"staged"`
	// Armed is the map before whose step the rank stops, or will switch.
	Armed     uint64 `json:"armed"`
	ArmedStep uint64 `json:"armed_step"`
	// Decided says that the armed map is committed.
	Decided bool `json:"decided"`
	// Refused says why the order changed nothing, if so.
	Refused string `json:"refused,omitempty"`
}
