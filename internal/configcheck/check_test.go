package configcheck

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
)

// valid returns a configuration without findings.
func valid() *Configuration {
	route := func(name, address string, r Route) Route {
		r.Name, r.Virtual, r.Address = name, address, netip.MustParseAddrPort(address)
		r.Type, r.Timeout, r.Objective, r.MaxAttempts = TypeSafe, 2500, 300, 2
		return r
	}
	return &Configuration{
		Version: 7,
		Routes: []Route{
			route("a", "198.18.0.1:443", Route{Service: "desk"}),
			route("b", "198.18.0.2:443", Route{Backends: []Backend{{"desk", 1}, {"till", 3}}, AllowedRegions: []string{"north"}}),
		},
		Services: []Service{{Name: "desk", HealthPath: "/health"}, {Name: "till", WarmupSeconds: 5, WarmupRate: 20}},
		Limits:   Limits{IdleTimeout: 15000},
	}
}

// Guards against a rule that misses its fault, names another entry or severity, or reports
// the fault under further rules.
func TestEachRuleReportsItsFaultAlone(t *testing.T) {
	all := map[string]Registered{"desk": {Ready: 1}, "till": {Ready: 1}}
	cases := map[string]struct {
		change       func(*Configuration)
		surroundings Surroundings
		want         []string
	}{
		"valid":            {func(*Configuration) {}, Surroundings{Registered: all, InForce: valid()}, nil},
		"no version":       {func(c *Configuration) { c.Version = 0 }, Surroundings{}, []string{"error version configuration"}},
		"version below":    {func(c *Configuration) { c.Version = 6 }, Surroundings{InForce: valid()}, []string{"error version-not-newer configuration"}},
		"version reused":   {func(c *Configuration) { c.Routes[0].Priority = 1 }, Surroundings{InForce: valid()}, []string{"error version-not-newer configuration"}},
		"in force unread":  {func(*Configuration) {}, Surroundings{InForceUnreadable: true}, []string{"warning in-force-unreadable configuration"}},
		"no route name":    {func(c *Configuration) { c.Routes[1].Name = "" }, Surroundings{}, []string{`warning name routes[1] ""`}},
		"route name twice": {func(c *Configuration) { c.Routes[1].Name = "a" }, Surroundings{}, []string{`warning repeated-name routes[1] "a"`}},
		"no address":       {func(c *Configuration) { c.Routes[0].Address = netip.AddrPort{} }, Surroundings{}, []string{`error address routes[0] "a"`}},
		"port 0": {func(c *Configuration) { c.Routes[0].Address = netip.MustParseAddrPort("198.18.0.1:0") }, Surroundings{},
			[]string{`error address routes[0] "a"`}},
		"IPv6":          {func(c *Configuration) { c.Routes[0].Address = netip.MustParseAddrPort("[2001:db8::1]:443") }, Surroundings{}, []string{`error address routes[0] "a"`}},
		"address twice": {func(c *Configuration) { c.Routes[1].Address = c.Routes[0].Address }, Surroundings{}, []string{`error repeated-address routes[0] "a"`}},
		"type":          {func(c *Configuration) { c.Routes[0].Type = "unsave" }, Surroundings{}, []string{`error type routes[0] "a"`}},
		"negative timeout": {func(c *Configuration) { c.Routes[0].Timeout = -1 }, Surroundings{},
			[]string{`error negative routes[0] "a"`}},
		"negative attempts": {func(c *Configuration) { c.Routes[0].MaxAttempts, c.Routes[0].Priority = -1, -1 }, Surroundings{},
			[]string{`error negative routes[0] "a"`, `error negative routes[0] "a"`}},
		"no timeout":               {func(c *Configuration) { c.Routes[0].Timeout = 0 }, Surroundings{}, []string{`warning timeout routes[0] "a"`}},
		"objective":                {func(c *Configuration) { c.Routes[0].Objective = 2501 }, Surroundings{}, []string{`error objective-above-timeout routes[0] "a"`}},
		"objective at timeout":     {func(c *Configuration) { c.Routes[0].Objective = 2500 }, Surroundings{}, nil},
		"idle timeout":             {func(c *Configuration) { c.Routes[1].Timeout = 15001 }, Surroundings{}, []string{`error idle-below-timeout routes[1] "b"`}},
		"default idle timeout":     {func(c *Configuration) { c.Limits.IdleTimeout, c.Routes[1].Timeout = 0, 15001 }, Surroundings{}, []string{`error idle-below-timeout routes[1] "b"`}},
		"no region":                {func(c *Configuration) { c.Routes[1].AllowedRegions = []string{} }, Surroundings{}, []string{`warning regions routes[1] "b"`}},
		"regions":                  {func(c *Configuration) { c.Routes[1].AllowedRegions = []string{"x", "x", ""} }, Surroundings{}, []string{`warning regions routes[1] "b"`, `error regions routes[1] "b"`}},
		"no service":               {func(c *Configuration) { c.Routes[0].Service = "" }, Surroundings{}, []string{`error no-service routes[0] "a"`}},
		"unknown service":          {func(c *Configuration) { c.Routes[0].Service = "dsk" }, Surroundings{}, []string{`error unknown-service routes[0] "a"`}},
		"unnamed backend":          {func(c *Configuration) { c.Routes[1].Backends[0].Service = "" }, Surroundings{}, []string{`error name routes[1] "b"`}},
		"weight 0":                 {func(c *Configuration) { c.Routes[1].Backends[1].Weight = 0 }, Surroundings{}, []string{`warning zero-weight routes[1] "b"`}},
		"backend twice":            {func(c *Configuration) { c.Routes[1].Backends = append(c.Routes[1].Backends, Backend{"till", 1}) }, Surroundings{}, []string{`warning repeated-backend routes[1] "b"`}},
		"service and backends":     {func(c *Configuration) { c.Routes[1].Service = "till" }, Surroundings{}, []string{`warning ignored-service routes[1] "b"`}},
		"service, no weights":      {func(c *Configuration) { c.Routes[0].Backends = []Backend{{"till", 0}} }, Surroundings{}, []string{`warning zero-weight routes[0] "a"`, `warning ignored-service routes[0] "a"`}},
		"unused service":           {func(c *Configuration) { c.Services = append(c.Services, Service{Name: "new"}) }, Surroundings{}, []string{`warning unused-service services[2] "new"`}},
		"service twice":            {func(c *Configuration) { c.Services = append(c.Services, Service{Name: "desk"}) }, Surroundings{}, []string{`error repeated-name services[2] "desk"`}},
		"unnamed service":          {func(c *Configuration) { c.Services = append(c.Services, Service{}) }, Surroundings{}, []string{`error name services[2] ""`}},
		"health path":              {func(c *Configuration) { c.Services[0].HealthPath = "health" }, Surroundings{}, []string{`error health-path services[0] "desk"`}},
		"warm-up without rate":     {func(c *Configuration) { c.Services[1].WarmupRate = 0 }, Surroundings{}, []string{`warning warmup services[1] "till"`}},
		"warm-up rate without one": {func(c *Configuration) { c.Services[1].WarmupSeconds = 0 }, Surroundings{}, []string{`warning warmup services[1] "till"`}},
		"negative warm-up":         {func(c *Configuration) { c.Services[1].WarmupRate = -1 }, Surroundings{}, []string{`error negative services[1] "till"`}},
		"negative limits":          {func(c *Configuration) { c.Limits = Limits{-1, -1, -1, -1} }, Surroundings{}, slices.Repeat([]string{"error negative limits"}, 4)},
		"no upstream":              {func(*Configuration) {}, Surroundings{Registered: map[string]Registered{"desk": {Ready: 1}}}, []string{`error no-upstream services[1] "till"`}},
		"all drain":                {func(*Configuration) {}, Surroundings{Registered: map[string]Registered{"desk": {Draining: 2}, "till": {Ready: 1}}}, []string{`warning no-upstream services[0] "desk"`}},
		"no flows, no upstream":    {func(c *Configuration) { c.Routes[1].Backends[1].Weight = 0 }, Surroundings{Registered: map[string]Registered{"desk": {Ready: 1}}}, []string{`warning zero-weight routes[1] "b"`}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := valid()
			test.change(c)
			var got []string
			for _, f := range Check(c, test.surroundings) {
				got = append(got, fmt.Sprintf("%s %s %s", f.Severity, f.Rule, f.Entry))
				if f.Message == "" || f.Remedy == "" {
					t.Errorf("no message or no remedy in %+v", f)
				}
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("got  %q\nwant %q", got, test.want)
			}
		})
	}
}

// Guards against a difference that is missed, is told twice or has the wrong effect on
// open flows.
func TestEachDifferenceIsToldOnce(t *testing.T) {
	cases := map[string]struct {
		change func(*Configuration)
		want   []string
	}{
		"none":            {func(c *Configuration) { c.Version = 8 }, nil},
		"route added":     {func(c *Configuration) { c.Routes = append(c.Routes, Route{Name: "c", Virtual: "x", Service: "desk"}) }, []string{`added: routes[2] "c": x to desk (new flows`}},
		"route removed":   {func(c *Configuration) { c.Routes = c.Routes[1:] }, []string{`removed: routes[0] "a": 198.18.0.1:443 to desk (open flows of the route are reset`}},
		"routes swapped":  {func(c *Configuration) { slices.Reverse(c.Routes) }, nil},
		"moved":           {func(c *Configuration) { c.Routes[0].Service = "till" }, []string{`moved: routes[0] "a": service desk -> till (new flows go to the new services, open flows stay where they are)`}},
		"weights":         {func(c *Configuration) { c.Routes[1].Backends[0].Weight = 2 }, []string{`changed: routes[1] "b": weights desk:1, till:3 -> desk:2, till:3 (new flows are shared by the new weights, open flows stay`}},
		"backend dropped": {func(c *Configuration) { c.Routes[1].Backends[0].Weight = 0 }, []string{`moved: routes[1] "b": service desk:1, till:3 -> till (`}},
		"values": {func(c *Configuration) {
			c.Routes[0].Timeout, c.Routes[0].Objective, c.Routes[0].Priority = 3000, 400, 2
		},
			[]string{`changed: routes[0] "a": timeout 2500 ms -> 3000 ms`, `changed: routes[0] "a": latency objective 300 ms -> 400 ms`, `changed: routes[0] "a": priority 0 -> 2`}},
		"more values": {func(c *Configuration) {
			c.Routes[0].Name, c.Routes[0].Type, c.Routes[0].MaxAttempts = "z", TypeUnsafe, 1
		},
			[]string{`changed: routes[0] "z": name a -> z`, `changed: routes[0] "z": type safe -> unsafe`, `changed: routes[0] "z": attempts 2 -> 1`}},
		"regions":         {func(c *Configuration) { c.Routes[1].AllowedRegions = nil }, []string{`changed: routes[1] "b": allowed regions north -> none (new flows keep`}},
		"service added":   {func(c *Configuration) { c.Services = append(c.Services, Service{Name: "new"}) }, []string{`added: services[2] "new"`}},
		"service removed": {func(c *Configuration) { c.Services = c.Services[:1] }, []string{`removed: services[1] "till"`}},
		"service": {func(c *Configuration) { c.Services[0] = Service{"desk", "/", 1500000, "h1", true, 3, 4} },
			[]string{`changed: services[0] "desk": health check path /health -> /`, `changed: services[0] "desk": flows 0 -> 1500000`, `changed: services[0] "desk": protocol none -> h1`,
				`changed: services[0] "desk": TLS false -> true`, `changed: services[0] "desk": warm-up time 0 s -> 3 s`, `changed: services[0] "desk": warm-up rate 0/s -> 4/s`}},
		"limits": {func(c *Configuration) { c.Limits = Limits{1, 2, 3, 15000} },
			[]string{"changed: limits: header size 0 bytes -> 1 bytes", "changed: limits: body size 0 bytes -> 2 bytes", "changed: limits: header timeout 0 ms -> 3 ms"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			next := valid()
			test.change(next)
			got := Compare(valid(), next)
			if len(got) != len(test.want) {
				t.Fatalf("got %v, want %q", got, test.want)
			}
			for i := range got {
				if !strings.HasPrefix(got[i].String(), test.want[i]) {
					t.Errorf("got  %s\nwant %s", got[i].String(), test.want[i])
				}
			}
		})
	}
}

// Guards against a mistyped list that counts words of a comment as services.
func TestReadRegistered(t *testing.T) {
	got, err := ReadRegistered(strings.NewReader("# services\ndesk\n\n desk \ntill\n"))
	if err != nil || got["desk"].Ready != 2 || got["till"].Ready != 1 || len(got) != 2 {
		t.Errorf("got %v, %v", got, err)
	}
	if _, err := ReadRegistered(strings.NewReader("desk till")); err == nil {
		t.Error("two services on a line were accepted")
	}
}
