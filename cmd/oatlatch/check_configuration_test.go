package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/oatlatch/oatlatch/internal/configcheck"
	"github.com/oatlatch/oatlatch/platform/standin"
)

// asClient makes the test binary run as the client.
const asClient = "OATLATCH_TEST_AS_CLIENT"

func TestMain(m *testing.M) {
	if os.Getenv(asClient) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// runClient runs the client in a process of its own and returns its output and status.
func runClient(t *testing.T, args ...string) (stdout string, status int) {
	t.Helper()
	command := exec.Command(os.Args[0], args...)
	command.Env = append(os.Environ(), asClient+"=1")
	out, err := command.Output()
	if exit := (*exec.ExitError)(nil); err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return string(out), command.ProcessState.ExitCode()
}

// Guards against wrong exit statuses, which scripts rely on, and against a comparison with
// something else than the store's version in force.
func TestCheckConfigurationAgainstTheStore(t *testing.T) {
	store, err := standin.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	route := func(host, service string) standin.Route {
		return standin.Route{Address: netip.MustParseAddrPort(host + ":443"), Service: service, Timeout: 2500}
	}
	write := func(name string, value any) string {
		text, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(t.TempDir(), name)
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	services := []string{"desk", "till"}
	inForce := standin.Configuration(7, []standin.Route{route("198.18.0.1", "desk"), route("198.18.0.2", "till")}, services)
	if err := store.Put(standin.ConfigurationKey, inForce); err != nil {
		t.Fatal(err)
	}
	for i, service := range services {
		u := standin.UpstreamOptions{Name: fmt.Sprintf("i-%08x", 1+i), Service: service, DataCentre: "quay", Slots: 2, Address: netip.MustParseAddrPort("10.0.0.1:80")}
		if err := store.Put(u.StoreKey(), u.Registration(false)); err != nil {
			t.Fatal(err)
		}
	}
	same, next := write("same.json", inForce), write("next.json", standin.Configuration(8, []standin.Route{route("198.18.0.1", "till")}, services))
	older := write("older.json", standin.Configuration(6, nil, nil))
	address := store.Address().String()

	out, status := runClient(t, "check", "configuration", "--json", "--store", address, next)
	var report configcheck.Report
	if err := json.Unmarshal([]byte(out), &report); err != nil {
		t.Fatalf("%v in %s", err, out)
	}
	if status != 0 || report.Errors != 0 || report.Warnings != 1 || report.InForce == nil || report.InForce.Version != 7 || len(report.Differences) != 2 ||
		report.Differences[0].Change != configcheck.Moved || report.Differences[1].Change != configcheck.Removed {
		t.Errorf("status %d, report %s", status, out)
	}
	for _, test := range []struct {
		args   []string
		status int
		want   string
	}{
		{[]string{"--strict", "--store", address, next}, 1, "warning: services[0]"},
		{[]string{"--strict", "--store", address, same}, 0, "0 differences"},
		{[]string{"--store", address, older}, 1, "version-not-newer"},
		{[]string{"--in-force", next, same}, 1, `added: routes[1] "r-1": 198.18.0.2:443 to till`},
		{[]string{"--upstreams", os.DevNull, same}, 1, "(no-upstream)"},
		{[]string{"--store", "127.0.0.1:1", same}, 2, ""},
		{[]string{"missing.json"}, 2, ""},
		{[]string{"--unknown", same}, 2, ""},
	} {
		out, status := runClient(t, append([]string{"check", "configuration"}, test.args...)...)
		if status != test.status || !strings.Contains(out, test.want) {
			t.Errorf("%q: status %d, want %d and %q in\n%s", test.args, status, test.status, test.want, out)
		}
	}
	if out, status := runClient(t, "check", "../../examples/amarres"); status != 0 || !strings.Contains(out, "berth-desk: ") {
		t.Errorf("check of service files: status %d\n%s", status, out)
	}
}
