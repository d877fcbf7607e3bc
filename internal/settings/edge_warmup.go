package settings

import "fmt"

// maxWarmup is the maximum of both warm-up settings.
const maxWarmup = 1000

// EdgeWarmup configures how many new flows an upstream may get while it warms up. The
// defaults allow no more than the configuration says that it can serve.
type EdgeWarmup struct {
	Overage float64 `name:"overage" default:"1" help:"Factor by which new flows may exceed warmup_per_s of the service."`
	Slack   float64 `name:"slack" default:"0" help:"New flows per second that an upstream may get in addition, from all hosts together."`
}

// check checks the section.
func (s *EdgeWarmup) check(c *checker) {
	for _, setting := range []struct {
		key   string
		value float64
	}{{"overage", s.Overage}, {"slack", s.Slack}} {
		if !(setting.value >= 0 && setting.value <= maxWarmup) {
			c.report("warmup", setting.key, fmt.Sprintf("%g is out of range", setting.value), fmt.Sprintf("write 0 to %d", maxWarmup))
		}
	}
}
