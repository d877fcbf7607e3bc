package limit

// Parameters of retry budgets.
const (
	// DefaultRetryRatio is the default number of retries allowed for each first attempt.
	DefaultRetryRatio = 0.1
	// maxRetryTokens limits the burst of retries that can accumulate.
	maxRetryTokens = 10.0
	// initialRetryTokens allows the very first request a retry, in case its connection
	// is stale.
	initialRetryTokens = 1.0
)

// RetryBudget limits retries to a ratio of the first attempts. It is a token bucket:
// each first attempt adds ratio tokens, each retry takes one.
type RetryBudget struct {
	ratio  float64
	tokens float64
}

// NewRetryBudget returns a budget that allows one retry at first.
func NewRetryBudget(ratio float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, tokens: initialRetryTokens}
}

// RecordRequest records the first attempt of a request.
func (b *RetryBudget) RecordRequest() { b.tokens = min(b.tokens+b.ratio, maxRetryTokens) }

// TakeRetry takes a retry from the budget and reports whether there was one.
func (b *RetryBudget) TakeRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
