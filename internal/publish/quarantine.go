package publish

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/service"
)

// QuarantineHold is the least time for which a released address stays in
// quarantine. It exceeds the lag of the platform's host list.
const QuarantineHold = 10 * time.Minute

// releases returns the quarantine entries for what the old form of a service used
// and the new one does not. A nil service stands for none.
func releases(old, next *service.Service, version config.Version, at time.Time) []config.Quarantine {
	if old == nil {
		return nil
	}
	var released []config.Quarantine
	base := config.Quarantine{Service: old.ID, Name: old.Name, Released: version, ReleasedAt: at}
	if next == nil || next.Address != old.Address || next.Protocol != old.Protocol {
		entry := base
		entry.Address, entry.Protocol = old.Address, old.Protocol
		released = append(released, entry)
	}
	if old.RequestHost != "" && (next == nil || next.RequestHost != old.RequestHost) {
		entry := base
		entry.RequestHost = old.RequestHost
		released = append(released, entry)
	}
	for _, upstream := range old.Upstreams {
		if next == nil || !hasUpstream(*next, upstream.Address) {
			entry := base
			entry.Upstream = upstream.Address
			released = append(released, entry)
		}
	}
	return released
}

func hasUpstream(svc service.Service, address netip.AddrPort) bool {
	return slices.ContainsFunc(svc.Upstreams, func(u service.Upstream) bool { return u.Address == address })
}

// claims reports whether the service uses what the entry holds.
func claims(svc service.Service, q config.Quarantine) bool {
	switch {
	case q.RequestHost != "":
		return svc.RequestHost == q.RequestHost
	case q.Upstream.IsValid():
		return hasUpstream(svc, q.Upstream)
	}
	return svc.Address == q.Address && svc.Protocol == q.Protocol
}

// claim removes the entries that the service takes back as its own, and returns a
// *QuarantinedError if it claims another's.
func claim(svc service.Service, quarantined []config.Quarantine, hosts *Hosts, at time.Time) ([]config.Quarantine, error) {
	var left []config.Quarantine
	for _, q := range quarantined {
		if !claims(svc, q) {
			left = append(left, q)
			continue
		}
		if q.Service == svc.ID {
			continue
		}
		reason, waiting := heldBecause(q, hosts, at)
		return nil, &QuarantinedError{Service: svc.Name, Entry: q, Waiting: waiting, Reason: reason}
	}
	return left, nil
}

// prune drops the entries that every listed host has confirmed.
func prune(quarantined []config.Quarantine, hosts *Hosts, at time.Time) []config.Quarantine {
	var left []config.Quarantine
	for _, q := range quarantined {
		if reason, _ := heldBecause(q, hosts, at); reason != "" {
			left = append(left, q)
		}
	}
	return left
}

// heldBecause returns why the entry must stay, and the hosts it waits for; the
// reason is empty when it may go.
func heldBecause(q config.Quarantine, hosts *Hosts, at time.Time) (string, []host.ID) {
	if until := q.ReleasedAt.Add(QuarantineHold); at.Before(until) {
		return "it is held until " + until.UTC().Format(time.RFC3339), nil
	}
	if hosts == nil || len(hosts.Listed) == 0 {
		return "the platform's host list is empty or could not be read", nil
	}
	var waiting []host.ID
	for _, id := range hosts.Listed {
		if !hosts.confirmed(id, q.Released) && !slices.Contains(waiting, id) {
			waiting = append(waiting, id)
		}
	}
	if len(waiting) == 0 {
		return "", nil
	}
	return fmt.Sprintf("%d listed hosts have not confirmed the release (%s); bring them back or take them off the platform's list", len(waiting), shortList(waiting)), waiting
}

func (h *Hosts) confirmed(id host.ID, version config.Version) bool {
	return slices.ContainsFunc(h.Confirmed, func(c config.Confirmation) bool {
		return c.Host == id && c.Version >= version
	})
}

// maxNamed bounds the hosts named in a message.
const maxNamed = 5

func shortList(ids []host.ID) string {
	var named []string
	for _, id := range ids[:min(maxNamed, len(ids))] {
		named = append(named, string(id))
	}
	if len(ids) > maxNamed {
		named = append(named, "...")
	}
	return strings.Join(named, ", ")
}
