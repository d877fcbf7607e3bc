package edge

import (
	"errors"
	"net"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/settings"
	"github.com/oatlatch/oatlatch/platform"
)

// appliedSettings are the settings that Reload or Options.Apply puts in force.
var appliedSettings = map[string]bool{
	"store.address": true, "store.apply_within": true, "limits.flow_age": true, "stop.time_limit": true,
	"log.lines_per_second": true, "log.bytes_per_second": true,
}

// TestEverySettingIsAppliedOrReported changes each setting in turn. It guards against a new
// setting whose change a reload accepts without a word and without putting it in force.
func TestEverySettingIsAppliedOrReported(t *testing.T) {
	before, err := settings.LoadEdge(writeTempSettings(t, testSettings))
	if err != nil {
		t.Fatal(err)
	}
	tested := 0
	for _, section := range reflect.VisibleFields(reflect.TypeFor[settings.Edge]()) {
		prefix, isSection := section.Tag.Lookup("prefix")
		if !isSection {
			continue
		}
		for _, field := range reflect.VisibleFields(section.Type) {
			if field.Anonymous {
				continue
			}
			key := strings.TrimSuffix(prefix, "-") + "." + strings.ReplaceAll(field.Tag.Get("name"), "-", "_")
			after := before
			changeValue(t, reflect.ValueOf(&after).Elem().FieldByIndex(section.Index).FieldByIndex(field.Index))
			var refused *RestartRequiredError
			isRefused := errors.As(checkRestartRequired(&before, &after), &refused) && refused.Key == key
			isReported := slices.Contains(changedStartSettings(&before, &after), key)
			if outcomes := count(isRefused, isReported, appliedSettings[key]); outcomes != 1 {
				t.Errorf("a change of %s: refused %t, reported %t, applied %t", key, isRefused, isReported, appliedSettings[key])
			}
			tested++
		}
	}
	if tested < 15 {
		t.Errorf("only %d settings were tested", tested)
	}
}

// count returns how many of the values are true.
func count(values ...bool) int {
	n := 0
	for _, v := range values {
		if v {
			n++
		}
	}
	return n
}

// changeValue sets a setting to another value.
func changeValue(t *testing.T, v reflect.Value) {
	t.Helper()
	switch value := v.Addr().Interface().(type) {
	case *string:
		*value += "x"
	case *netip.AddrPort:
		*value = netip.MustParseAddrPort("192.0.2.1:9")
	case *int:
		*value++
	case *float64:
		*value++
	case *time.Duration:
		*value++
	case *[]netip.AddrPort:
		*value = append(*value, netip.MustParseAddrPort("192.0.2.1:9"))
	case *[]time.Duration:
		*value = append(*value, time.Nanosecond)
	default:
		t.Fatalf("a setting has the unexpected type %T", value)
	}
}

// TestFailedNewLeavesNoSocketOpen covers a host that cannot bind one of its addresses. The
// others must be free again, so that the host can be started after a correction.
func TestFailedNewLeavesNoSocketOpen(t *testing.T) {
	g := NewWithT(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer taken.Close()
	free := func() netip.AddrPort {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		return l.Addr().(*net.TCPAddr).AddrPort()
	}
	s, err := settings.LoadEdge(writeTempSettings(t, testSettings))
	g.Expect(err).NotTo(HaveOccurred())
	s.Listen.Packet, s.Listen.Ready, s.Listen.Seed, s.Listen.Metrics = free(), free(), free(), taken.Addr().(*net.TCPAddr).AddrPort()
	store := platform.NewStore(s.Store.Address)
	_, err = New(Options{
		Settings: s, Store: store, Snapshots: store, Registration: store, Codec: platform.Codec{},
		Logger: zerolog.Nop(), Now: time.Now, ProcessorTime: func() time.Duration { return 0 },
	})
	g.Expect(err).To(MatchError(ContainSubstring("settings:listen.metrics")))
	for _, address := range []netip.AddrPort{s.Listen.Ready, s.Listen.Seed} {
		l, err := net.Listen("tcp", address.String())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(l.Close()).To(Succeed())
	}
	packets, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.Listen.Packet))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(packets.Close()).To(Succeed())
}
