package forward

// Budget bounds retries to a share of the requests, so that at an outage
// retries can't multiply the load on what is left.
type Budget struct {
	ratio  float64
	tokens float64
}

// budgetDepth is how many retries may be saved up for a burst.
const budgetDepth = 10

// NewBudget allows ratio retries per request on average.
func NewBudget(ratio float64) *Budget {
	return &Budget{ratio: ratio, tokens: min(1, ratio*budgetDepth)}
}

// Configure changes the ratio in flight.
func (b *Budget) Configure(ratio float64) { b.ratio = ratio }

// Offer counts one new request.
func (b *Budget) Offer() { b.tokens = min(b.tokens+b.ratio, budgetDepth) }

// Take takes one retry, or says that none is left.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
