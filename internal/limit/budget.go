package limit

// Limits of a retry budget.
const (
	// DefaultRetryRatio is the number of retries that each fresh request earns.
	DefaultRetryRatio = 0.1
	// maxRetryTokens bounds the retries saved up in quiet times.
	maxRetryTokens = 10.0
	// firstRetryTokens lets the very first request survive a stale connection.
	firstRetryTokens = 1.0
)

// Budget allows retries as a ratio of fresh requests.
type Budget struct {
	ratio  float64
	tokens float64
}

// NewBudget returns a budget with room for one retry.
func NewBudget(ratio float64) *Budget { return &Budget{ratio: ratio, tokens: firstRetryTokens} }

// Fresh records a request that is not a retry.
func (b *Budget) Fresh() { b.tokens = min(b.tokens+b.ratio, maxRetryTokens) }

// Take uses one retry and says whether the budget allowed it.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
