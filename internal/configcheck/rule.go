package configcheck

// Rule names the rule that a finding is about. Scripts may depend on the names.
type Rule string

// Rules about the text of the configuration. The decoder reports them.
const (
	RuleSyntax        Rule = "syntax"
	RuleUnknownField  Rule = "unknown-field"
	RuleRepeatedField Rule = "repeated-field"
)

// Rules about values of their own.
const (
	RuleVersion        Rule = "version"
	RuleName           Rule = "name"
	RuleRepeatedName   Rule = "repeated-name"
	RuleAddress        Rule = "address"
	RuleType           Rule = "type"
	RuleNegative       Rule = "negative"
	RuleTimeout        Rule = "timeout"
	RuleHealthPath     Rule = "health-path"
	RuleRegions        Rule = "regions"
	RuleNoService      Rule = "no-service"
	RuleUnknownService Rule = "unknown-service"
)

// Rules about entries that never match or have no effect.
const (
	RuleRepeatedAddress Rule = "repeated-address"
	RuleZeroWeight      Rule = "zero-weight"
	RuleRepeatedBackend Rule = "repeated-backend"
	RuleIgnoredService  Rule = "ignored-service"
	RuleUnusedService   Rule = "unused-service"
)

// Rules about limits that contradict each other.
const (
	RuleObjectiveAboveTimeout Rule = "objective-above-timeout"
	RuleIdleBelowTimeout      Rule = "idle-below-timeout"
	RuleWarmup                Rule = "warmup"
)

// Rules about the state of the platform.
const (
	RuleNoUpstream      Rule = "no-upstream"
	RuleVersionNotNewer Rule = "version-not-newer"
	RuleInForceUnknown  Rule = "in-force-unreadable"
)
