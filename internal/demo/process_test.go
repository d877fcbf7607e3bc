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

// binaryPath is the daemon built for the process tests.
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

// processNode is an entry host in a process of its own.
type processNode struct {
	command *exec.Cmd
	done    chan struct{}
	err     error

	mu    sync.Mutex
	admin string
	log   []string
}

// launchProcess starts oatlatchd with the settings as flags.
func launchProcess(ctx context.Context, s settings.Settings, _ int) (node, error) {
	n := &processNode{done: make(chan struct{}), command: exec.CommandContext(ctx, binaryPath,
		"--host-id", s.Host.ID, "--host-data-centre", s.Host.DataCentre, "--host-region", s.Host.Region,
		"--listen-peer", s.Listen.Peer.String(), "--listen-packet", s.Listen.Packet.String(),
		"--listen-request", s.Listen.Request.String(), "--listen-admin", s.Listen.Admin.String(),
		"--platform-addresses", strings.Join(s.Platform.Addresses, ","),
		"--stop-time-limit", s.Stop.TimeLimit.String(),
		"--peers-seeds", joinAddresses(s.Peers.Seeds),
	)}
	if len(s.Peers.Seeds) == 0 {
		n.command.Args = n.command.Args[:len(n.command.Args)-2]
	}
	output, err := n.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	n.command.Stderr = os.Stderr
	if err := n.command.Start(); err != nil {
		return nil, err
	}
	go n.read(output)
	return n, nil
}

func joinAddresses(addresses []netip.AddrPort) string {
	var texts []string
	for _, address := range addresses {
		texts = append(texts, address.String())
	}
	return strings.Join(texts, ",")
}

var adminPattern = regexp.MustCompile(`event=started .*admin=(\S+)`)

// read keeps the log and learns the admin address from it.
func (n *processNode) read(output io.Reader) {
	lines := bufio.NewScanner(output)
	for lines.Scan() {
		n.mu.Lock()
		n.log = append(n.log, lines.Text())
		if found := adminPattern.FindStringSubmatch(lines.Text()); found != nil {
			n.admin = found[1]
		}
		n.mu.Unlock()
	}
	n.err = n.command.Wait()
	close(n.done)
}

func (n *processNode) Status() (daemon.Status, error) {
	n.mu.Lock()
	admin := n.admin
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

func (n *processNode) signal(s os.Signal) { _ = n.command.Process.Signal(s) }

// logged reports whether a line of the log has all the parts.
func (n *processNode) logged(parts ...string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, line := range n.log {
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

// daemonStatus shortens the conditions of eventually.
type daemonStatus = daemon.Status

// eventually returns the first status that meets the condition.
func eventually(t *testing.T, n node, met func(daemonStatus) bool) daemonStatus {
	t.Helper()
	var last daemonStatus
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); {
		status, err := n.Status()
		if err == nil && met(status) {
			return status
		}
		last = status
		_ = wait.For(context.Background(), pollInterval)
	}
	t.Fatalf("the host did not reach the state in time: %+v", last)
	return last
}
