package forward

// RetryBudget is a retry budget: a token bucket that bounds retries to a share of the
// requests, so that retries can't multiply the load during an outage. It is not safe
// for concurrent use.
type RetryBudget struct {
	ratio  float64
	tokens float64
}

// maxBudgetTokens is the bucket's size: the maximum burst of retries.
const maxBudgetTokens = 10

// NewRetryBudget creates a budget that allows ratio retries per request on average.
func NewRetryBudget(ratio float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, tokens: min(1, ratio*maxBudgetTokens)}
}

// SetRatio sets the ratio of retries to requests. It keeps the tokens in the bucket.
func (b *RetryBudget) SetRatio(ratio float64) { b.ratio = ratio }

// RecordRequest records a request, which adds ratio tokens.
func (b *RetryBudget) RecordRequest() { b.tokens = min(b.tokens+b.ratio, maxBudgetTokens) }

// TakeRetry takes a token for a retry. It returns false if there is none.
func (b *RetryBudget) TakeRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
