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

// MinQuarantine is the minimum time for which a released address stays in quarantine.
// It exceeds the lag of the platform's host list, so that the list is up to date when
// the hosts' confirmations are checked.
const MinQuarantine = 10 * time.Minute

// quarantineReleased returns a quarantine entry for each address, request host and
// upstream address that old uses and next does not. Old is nil for a new service, next
// is nil for a removed one.
func quarantineReleased(old, next *service.Service, version config.Version, at time.Time) []config.Quarantine {
	if old == nil {
		return nil
	}
	var released []config.Quarantine
	template := config.Quarantine{Service: old.ID, Name: old.Name, Released: version, ReleasedAt: at}
	if next == nil || next.Address != old.Address || next.Protocol != old.Protocol {
		entry := template
		entry.Address, entry.Protocol = old.Address, old.Protocol
		released = append(released, entry)
	}
	if old.RequestHost != "" && (next == nil || next.RequestHost != old.RequestHost) {
		entry := template
		entry.RequestHost = old.RequestHost
		released = append(released, entry)
	}
	for _, upstream := range old.Upstreams {
		if next == nil || !hasUpstream(*next, upstream.Address) {
			entry := template
			entry.Upstream = upstream.Address
			released = append(released, entry)
		}
	}
	return released
}

func hasUpstream(svc service.Service, address netip.AddrPort) bool {
	return slices.ContainsFunc(svc.Upstreams, func(u service.Upstream) bool { return u.Address == address })
}

// usesQuarantined reports whether the service uses the quarantined address, request
// host or upstream address.
func usesQuarantined(svc service.Service, q config.Quarantine) bool {
	switch {
	case q.RequestHost != "":
		return svc.RequestHost == q.RequestHost
	case q.Upstream.IsValid():
		return hasUpstream(svc, q.Upstream)
	}
	return svc.Address == q.Address && svc.Protocol == q.Protocol
}

// claimQuarantined removes the entries that the service released itself and uses again.
// It returns a *QuarantinedError if the service uses what another one released.
func claimQuarantined(svc service.Service, quarantined []config.Quarantine, hosts *Hosts, at time.Time) ([]config.Quarantine, error) {
	var remaining []config.Quarantine
	for _, q := range quarantined {
		if !usesQuarantined(svc, q) {
			remaining = append(remaining, q)
			continue
		}
		if q.Service == svc.ID {
			continue
		}
		reason, unconfirmed := quarantineReason(q, hosts, at)
		return nil, &QuarantinedError{Service: svc.Name, Entry: q, Unconfirmed: unconfirmed, Reason: reason}
	}
	return remaining, nil
}

// pruneQuarantine drops the entries that have expired: MinQuarantine has passed and
// every listed host has confirmed the release.
func pruneQuarantine(quarantined []config.Quarantine, hosts *Hosts, at time.Time) []config.Quarantine {
	var remaining []config.Quarantine
	for _, q := range quarantined {
		if reason, _ := quarantineReason(q, hosts, at); reason != "" {
			remaining = append(remaining, q)
		}
	}
	return remaining
}

// quarantineReason returns why the entry must stay, and the hosts that have not
// confirmed the release. The reason is empty if the entry may be dropped.
func quarantineReason(q config.Quarantine, hosts *Hosts, at time.Time) (string, []host.ID) {
	if until := q.ReleasedAt.Add(MinQuarantine); at.Before(until) {
		return "it is held until " + until.UTC().Format(time.RFC3339), nil
	}
	if hosts == nil || len(hosts.Listed) == 0 {
		return "the platform's host list is empty or could not be read", nil
	}
	var unconfirmed []host.ID
	for _, id := range hosts.Listed {
		if !hosts.hasConfirmed(id, q.Released) && !slices.Contains(unconfirmed, id) {
			unconfirmed = append(unconfirmed, id)
		}
	}
	if len(unconfirmed) == 0 {
		return "", nil
	}
	return fmt.Sprintf("%d listed hosts have not confirmed the release (%s); bring them back or remove them from the platform's list", len(unconfirmed), formatHosts(unconfirmed)), unconfirmed
}

// hasConfirmed reports whether the host has confirmed the version or a later one.
func (h *Hosts) hasConfirmed(id host.ID, version config.Version) bool {
	return slices.ContainsFunc(h.Confirmations, func(c config.Confirmation) bool {
		return c.Host == id && c.Version >= version
	})
}

// maxListedHosts bounds the number of hosts named in an error message.
const maxListedHosts = 5

func formatHosts(ids []host.ID) string {
	var listed []string
	for _, id := range ids[:min(maxListedHosts, len(ids))] {
		listed = append(listed, string(id))
	}
	if len(ids) > maxListedHosts {
		listed = append(listed, "...")
	}
	return strings.Join(listed, ", ")
}
