package demo

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/daemon"
	"github.com/oatlatch/oatlatch/internal/settings"
	"github.com/oatlatch/oatlatch/internal/wait"
)

// binaryPath is the path of the daemon's binary, which TestMain builds.
var binaryPath string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "oatlatch")
	if err != nil {
		panic(err)
	}
	binaryPath = filepath.Join(dir, "oatlatchd")
	if out, err := exec.Command("go", "build", "-o", binaryPath, "../../cmd/oatlatchd").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("cannot build the daemon: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// processNode is an entry host that runs in a process of its own.
type processNode struct {
	cmd  *exec.Cmd
	done chan struct{}
	// err is the result of the process. It is set before done is closed.
	err error

	mu sync.Mutex
	// adminAddress is empty until the host has logged it.
	adminAddress string
	logLines     []string
}

// launchProcess starts oatlatchd with settings passed as flags. Settings without a flag
// here, such as the limits, have the daemon's defaults.
func launchProcess(ctx context.Context, s settings.Settings, _ int) (node, error) {
	n := &processNode{done: make(chan struct{}), cmd: exec.CommandContext(ctx, binaryPath,
		"--host-id", s.Host.ID, "--host-data-centre", s.Host.DataCentre, "--host-region", s.Host.Region,
		"--listen-peer", s.Listen.Peer.String(), "--listen-packet", s.Listen.Packet.String(),
		"--listen-request", s.Listen.Request.String(), "--listen-admin", s.Listen.Admin.String(),
		"--platform-addresses", strings.Join(s.Platform.Addresses, ","),
		"--stop-time-limit", s.Stop.TimeLimit.String(),
		"--peers-seeds", joinAddresses(s.Peers.Seeds),
	)}
	if len(s.Peers.Seeds) == 0 {
		n.cmd.Args = n.cmd.Args[:len(n.cmd.Args)-2]
	}
	output, err := n.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	n.cmd.Stderr = os.Stderr
	if err := n.cmd.Start(); err != nil {
		return nil, err
	}
	go n.readLog(output)
	return n, nil
}

func joinAddresses(addresses []netip.AddrPort) string {
	var parts []string
	for _, address := range addresses {
		parts = append(parts, address.String())
	}
	return strings.Join(parts, ",")
}

// adminPattern matches the log event of the startup, which has the admin address.
var adminPattern = regexp.MustCompile(`event=started .*admin=(\S+)`)

// readLog records the log and finds the admin address in it until the process closes its
// output, and then waits for the process to exit.
func (n *processNode) readLog(output io.Reader) {
	lines := bufio.NewScanner(output)
	for lines.Scan() {
		n.mu.Lock()
		n.logLines = append(n.logLines, lines.Text())
		if found := adminPattern.FindStringSubmatch(lines.Text()); found != nil {
			n.adminAddress = found[1]
		}
		n.mu.Unlock()
	}
	n.err = n.cmd.Wait()
	close(n.done)
}

func (n *processNode) Status() (daemon.Status, error) {
	n.mu.Lock()
	admin := n.adminAddress
	n.mu.Unlock()
	var status daemon.Status
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + admin + "/status")
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	return status, json.NewDecoder(response.Body).Decode(&status)
}

func (n *processNode) Stop()                 { n.signal(syscall.SIGTERM) }
func (n *processNode) Done() <-chan struct{} { return n.done }
func (n *processNode) Err() error            { return n.err }

func (n *processNode) signal(s os.Signal) { _ = n.cmd.Process.Signal(s) }

// hasLogged reports whether a line of the log contains all the parts.
func (n *processNode) hasLogged(parts ...string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, line := range n.logLines {
		found := true
		for _, part := range parts {
			found = found && strings.Contains(line, part)
		}
		if found {
			return true
		}
	}
	return false
}

// daemonStatus is an alias for use in the conditions of waitForStatus.
type daemonStatus = daemon.Status

// waitForStatus polls the host and returns the first status that meets the condition. It
// fails the test after readyTimeout.
func waitForStatus(t *testing.T, n node, condition func(daemonStatus) bool) daemonStatus {
	t.Helper()
	var last daemonStatus
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); {
		status, err := n.Status()
		if err == nil && condition(status) {
			return status
		}
		last = status
		_ = wait.Sleep(context.Background(), pollInterval)
	}
	t.Fatalf("the host's status did not meet the condition in time: %+v", last)
	return last
}
