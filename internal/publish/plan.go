package publish

import (
	"cmp"
	"slices"
	"strings"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/service"
)

// plan is a new version of the configuration, computed from one state.
type plan struct {
	version config.Version
	// head is the stored form of the new head.
	head []byte
	// pages are the pages to create before the head is written.
	pages   []config.PageData
	changes []change
	// base is the version of the state, and revision the revision of its head.
	base     config.Version
	revision uint64
}

// newPlan computes the version that results from applying the changes to the state.
func newPlan(r Request, changes []change, s State) (*plan, error) {
	p := &plan{
		version:  max(s.version(), r.AboveVersion) + 1,
		changes:  changes,
		base:     s.version(),
		revision: s.Revision,
	}
	head := buildHead(r, s, p.version, changeNames(changes))
	records, err := p.applyChanges(r, s, &head)
	if err != nil {
		return nil, err
	}
	if err := p.buildPages(&head, records, s); err != nil {
		return nil, err
	}
	if p.head, err = config.EncodeHead(head); err != nil {
		return nil, err
	}
	if len(p.head) > config.MaxObjectBytes {
		return nil, &config.TooLargeError{Object: "head", Bytes: len(p.head)}
	}
	return p, nil
}

// buildHead returns the head of the new version without its pages.
func buildHead(r Request, s State, version config.Version, changed []string) config.Head {
	head := config.Head{Format: config.FormatVersion, NextID: 1, FlowKey: r.Secrets.FlowKey[:]}
	if s.Bundle != nil {
		head = s.Bundle.Head
	}
	head.Version = version
	head.Pages = nil
	head.Quarantined = pruneQuarantine(head.Quarantined, s.Hosts, r.At)
	if r.RotateTicketKeys || len(head.TicketKeys) == 0 {
		head.TicketKeys = rotateKeys(head.TicketKeys, r.Secrets.TicketKey[:])
	}
	publications := append(slices.Clone(head.Publications), config.Publication{
		ID: r.ID, Version: version, Operator: r.Operator, At: r.At.UTC(), Services: truncateServices(changed),
	})
	head.Publications = publications[max(0, len(publications)-config.MaxPublications):]
	return head
}

// maxTicketKeys is the number of ticket keys kept: the newest and its predecessor.
const maxTicketKeys = 2

// rotateKeys puts the new key first and drops the oldest keys over the limit.
func rotateKeys(keys [][]byte, newKey []byte) [][]byte {
	rotated := append([][]byte{slices.Clone(newKey)}, keys...)
	return rotated[:min(maxTicketKeys, len(rotated))]
}

// maxListedServices bounds the service names that the head lists for a publication.
const maxListedServices = 16

func truncateServices(names []string) []string {
	return slices.Clone(names[:min(maxListedServices, len(names))])
}

// applyChanges returns the records of the new version, sorted by name. It updates the
// head's next ID and quarantine.
func (p *plan) applyChanges(r Request, s State, head *config.Head) ([]config.Record, error) {
	records := s.snapshot().Records()
	var updated []service.Service
	for _, c := range p.changes {
		i, found := slices.BinarySearchFunc(records, c.name, func(rec config.Record, name string) int {
			return strings.Compare(rec.Service.Name, name)
		})
		var old *service.Service
		if found {
			previous := records[i].Service
			old = &previous
		}
		if c.desired == nil {
			head.Quarantined = append(head.Quarantined, quarantineReleased(old, nil, p.version, r.At)...)
			records = slices.Delete(records, i, i+1)
			continue
		}
		next := *c.desired
		if err := assignID(&next, old, head); err != nil {
			return nil, err
		}
		head.Quarantined = append(head.Quarantined, quarantineReleased(old, &next, p.version, r.At)...)
		record := config.Record{Changed: p.version, Publication: r.ID, Service: next}
		if found {
			records[i] = record
		} else {
			records = slices.Insert(records, i, record)
		}
		updated = append(updated, next)
	}
	return records, p.claimAddresses(r, s, head, records, updated)
}

// assignID gives the service its previous ID if it is published or still has an entry
// in quarantine, and the next unused ID otherwise.
func assignID(next, old *service.Service, head *config.Head) error {
	if old != nil {
		next.ID = old.ID
		return nil
	}
	for _, q := range head.Quarantined {
		if q.Name == next.Name {
			next.ID = q.Service
			return nil
		}
	}
	if head.NextID > service.MaxID {
		return &InvalidServiceError{Service: next.Name, Reason: "no unused service ID is left"}
	}
	next.ID = head.NextID
	head.NextID++
	return nil
}

// claimAddresses checks that no two services of the new version share an address and
// that no updated service uses an address that another one has in quarantine. It
// removes the quarantine entries that updated services take back.
func (p *plan) claimAddresses(r Request, s State, head *config.Head, records []config.Record, updated []service.Service) error {
	services := make([]service.Service, 0, len(records))
	for _, record := range records {
		services = append(services, record.Service)
	}
	if err := config.CheckDuplicates(services); err != nil {
		return err
	}
	if err := config.CheckDuplicateUpstreams(services); err != nil {
		return err
	}
	for _, svc := range updated {
		remaining, err := claimQuarantined(svc, head.Quarantined, s.Hosts, r.At)
		if err != nil {
			return err
		}
		head.Quarantined = remaining
	}
	return nil
}

// buildPages sets the head's pages. Pages without a change are kept, the others are
// encoded anew.
func (p *plan) buildPages(head *config.Head, records []config.Record, s State) error {
	changedBuckets := map[int]bool{}
	for _, c := range p.changes {
		changedBuckets[config.BucketOf(c.name)] = true
	}
	if s.Bundle != nil {
		for _, ref := range s.Bundle.Head.Pages {
			if !changedBuckets[ref.Bucket] {
				head.Pages = append(head.Pages, ref)
			}
		}
	}
	buckets := map[int][]config.Record{}
	for _, record := range records {
		if bucket := config.BucketOf(record.Service.Name); changedBuckets[bucket] {
			buckets[bucket] = append(buckets[bucket], record)
		}
	}
	for bucket, contents := range buckets {
		page, err := config.EncodePage(config.Page{Bucket: bucket, Version: p.version, Services: contents})
		if err != nil {
			return err
		}
		if len(page.Data) > config.MaxObjectBytes {
			return &config.TooLargeError{Object: page.Ref.Key(), Bytes: len(page.Data), LargestService: largestService(contents)}
		}
		head.Pages = append(head.Pages, page.Ref)
		p.pages = append(p.pages, page)
	}
	byBucket := func(a, b config.PageRef) int { return cmp.Compare(a.Bucket, b.Bucket) }
	slices.SortFunc(head.Pages, byBucket)
	slices.SortFunc(p.pages, func(a, b config.PageData) int { return byBucket(a.Ref, b.Ref) })
	return nil
}

// largestService returns the name of the service with the most upstreams.
func largestService(records []config.Record) string {
	record := slices.MaxFunc(records, func(a, b config.Record) int {
		return cmp.Compare(len(a.Service.Upstreams), len(b.Service.Upstreams))
	})
	return record.Service.Name
}
