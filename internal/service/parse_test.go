package service_test

import (
	"strings"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/inifile"
	"github.com/oatlatch/oatlatch/internal/service"
)

const validFile = `[service]
name = berth-desk
region = casa-north
address = 203.0.113.10:443
request_host = berth-desk.amarres.example

[sharing]
prefer = balance

[upstream b]
data_centre = casa-quay
address = 10.20.1.12:8443
weight = 3

[upstream a]
data_centre = tanger-quay
address = 10.20.1.11:8443
packet_port = 7000
state = draining
`

func TestParseValid(t *testing.T) {
	s, problems := service.Parse("berth-desk.oatlatch", []byte(validFile))
	if err := problems.Err(); err != nil {
		t.Fatal(err)
	}
	if s.Name != "berth-desk" || s.Protocol != service.TCP || s.Prefer != service.PreferBalance {
		t.Errorf("service section parsed incorrectly: %+v", s)
	}
	if s.DrainLimit != time.Hour || s.DeviationThreshold != 0.01 {
		t.Errorf("defaults not applied: %+v", s)
	}
	if len(s.Upstreams) != 2 || s.Upstreams[0].Name != "a" || s.Upstreams[1].Weight != 3 {
		t.Fatalf("upstreams not sorted or parsed incorrectly: %+v", s.Upstreams)
	}
	if u := s.Upstreams[0]; u.PacketAddress.String() != "10.20.1.11:7000" || u.State != service.AdminDraining {
		t.Errorf("upstream parsed incorrectly: %+v", u)
	}
}

func TestParseReportsProblems(t *testing.T) {
	cases := []struct {
		name, old, new, want string
	}{
		{"unknown key", "prefer = balance", "prefers = balance", "f:sharing.prefers: the key is unknown"},
		{"unknown section", "[sharing]", "[share]", "f:share: the section is unknown"},
		{"repeated key", "prefer = balance", "prefer = balance\nprefer = balance", "f:sharing.prefer: the key is repeated"},
		{"repeated section", "[upstream b]", "[upstream a]", "f:upstream a: the section is repeated"},
		{"bad address", "203.0.113.10:443", "berth:443", `f:service.address: "berth:443" is not a usable address, write IP:port`},
		{"unspecified address", "203.0.113.10:443", "0.0.0.0:443", "f:service.address: "},
		{"zero weight", "weight = 3", "weight = 0", `f:upstream b.weight: "0" is out of range, write a whole number from 1 to 1000`},
		{"negative slots", "weight = 3", "slots = -3", `f:upstream b.slots: "-3" is out of range`},
		{"duplicate upstream address", "10.20.1.12:8443", "10.20.1.11:8443", "f:upstream a.address: 10.20.1.11:8443 is also the address of upstream b"},
		{"bad name", "name = berth-desk", "name = Berth Desk", `f:service.name: "Berth Desk" is not a valid name`},
		{"bad state", "draining", "drained", `f:upstream a.state: "drained" is not known, write active or draining`},
		{"not a number", "prefer = balance", "deviation_threshold = NaN", "f:sharing.deviation_threshold: "},
		{"key before sections", "[service]", "x = 1\n[service]", "f:(top).x: "},
		{"no upstream", validFile[strings.Index(validFile, "[upstream b]"):], "", "f:upstream: the service has no upstream"},
		{"empty", validFile, " \n", "f: the file is empty"},
		{"not INI", validFile, "roster table", "f: not an INI file"},
		{"too large", validFile, strings.Repeat("#", inifile.MaxBytes+1), "f: the file is too large"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, problems := service.Parse("f", []byte(strings.Replace(validFile, c.old, c.new, 1)))
			if len(problems) != 1 || !strings.HasPrefix(problems[0].Error(), c.want) {
				t.Fatalf("want one problem with prefix %q, got:\n%v", c.want, problems)
			}
			if problems[0].Remedy == "" || strings.Contains(problems[0].Error(), "\n") {
				t.Errorf("want a one-line message with a remedy, got %q", problems[0].Error())
			}
		})
	}
}

func TestCheckConflicts(t *testing.T) {
	s, _ := service.Parse("one", []byte(validFile))
	problems := service.CheckConflicts([]service.ParsedFile{{File: "one", Service: s}, {File: "two", Service: s}})
	want := []string{"two:service.name", "two:service.address", "two:service.request_host", "two:upstream a.address", "two:upstream b.address"}
	if len(problems) != len(want) {
		t.Fatalf("want %d problems, got:\n%v", len(want), problems)
	}
	for i, prefix := range want {
		if !strings.HasPrefix(problems[i].Error(), prefix) {
			t.Errorf("problem %d: want prefix %s, got %s", i, prefix, problems[i].Error())
		}
	}
}
