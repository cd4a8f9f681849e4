package forward

// Budget is a retry budget: a token bucket that bounds retries to a share of the
// requests, so that retries can't multiply the load during an outage. It is not safe
// for concurrent use.
type Budget struct {
	ratio  float64
	tokens float64
}

// maxBudgetTokens is the bucket's size: the maximum burst of retries.
const maxBudgetTokens = 10

// NewBudget creates a budget that allows ratio retries per request on average.
func NewBudget(ratio float64) *Budget {
	return &Budget{ratio: ratio, tokens: min(1, ratio*maxBudgetTokens)}
}

// Configure sets the ratio of retries to requests. It keeps the tokens in the bucket.
func (b *Budget) Configure(ratio float64) { b.ratio = ratio }

// Offer records a request, which adds ratio tokens.
func (b *Budget) Offer() { b.tokens = min(b.tokens+b.ratio, maxBudgetTokens) }

// Take takes a token for a retry. It returns false if there is none.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
