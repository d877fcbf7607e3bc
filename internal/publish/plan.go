package publish

import (
	"cmp"
	"slices"
	"strings"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/service"
)

// plan is a new head over a certain state.
type plan struct {
	version  config.Version
	head     []byte
	pages    []config.PageData
	changes  []change
	base     config.Version
	revision uint64
}

// newPlan applies the changes to the state.
func newPlan(r Request, changes []change, s State) (*plan, error) {
	p := &plan{
		version:  max(s.version(), r.Above) + 1,
		changes:  changes,
		base:     s.version(),
		revision: s.Revision,
	}
	head := nextHead(r, s, p.version, names(changes))
	records, err := p.apply(r, s, &head)
	if err != nil {
		return nil, err
	}
	if err := p.paginate(&head, records, s); err != nil {
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

// nextHead returns the head of the new version without its pages.
func nextHead(r Request, s State, version config.Version, changed []string) config.Head {
	head := config.Head{Format: config.FormatVersion, NextID: 1, FlowKey: r.Secrets.FlowKey[:]}
	if s.Bundle != nil {
		head = s.Bundle.Head
	}
	head.Version = version
	head.Pages = nil
	head.Quarantined = prune(head.Quarantined, s.Hosts, r.At)
	if r.RotateTicketKeys || len(head.TicketKeys) == 0 {
		head.TicketKeys = rotate(head.TicketKeys, r.Secrets.TicketKey[:])
	}
	publications := append(slices.Clone(head.Publications), config.Publication{
		ID: r.ID, Version: version, Operator: r.Operator, At: r.At.UTC(), Services: shorten(changed),
	})
	head.Publications = publications[max(0, len(publications)-config.MaxPublications):]
	return head
}

// ticketKeysKept is the number of ticket keys in use during a rotation.
const ticketKeysKept = 2

func rotate(keys [][]byte, fresh []byte) [][]byte {
	rotated := append([][]byte{slices.Clone(fresh)}, keys...)
	return rotated[:min(ticketKeysKept, len(rotated))]
}

// maxServicesNamed bounds the services that a publication lists in the head.
const maxServicesNamed = 16

func shorten(names []string) []string {
	return slices.Clone(names[:min(maxServicesNamed, len(names))])
}

// apply returns the records of the new version, sorted by name, and updates the
// head's next ID and quarantine.
func (p *plan) apply(r Request, s State, head *config.Head) ([]config.Record, error) {
	records := s.snapshot().Records()
	var claimants []service.Service
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
			head.Quarantined = append(head.Quarantined, releases(old, nil, p.version, r.At)...)
			records = slices.Delete(records, i, i+1)
			continue
		}
		next := *c.desired
		if err := assignID(&next, old, head); err != nil {
			return nil, err
		}
		head.Quarantined = append(head.Quarantined, releases(old, &next, p.version, r.At)...)
		record := config.Record{Changed: p.version, Publication: r.ID, Service: next}
		if found {
			records[i] = record
		} else {
			records = slices.Insert(records, i, record)
		}
		claimants = append(claimants, next)
	}
	return records, p.claimAll(r, s, head, records, claimants)
}

// assignID keeps the ID of a service that is published or was removed a while ago.
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
		return &InvalidServiceError{Service: next.Name, Reason: "all service IDs are used up"}
	}
	next.ID = head.NextID
	head.NextID++
	return nil
}

func (p *plan) claimAll(r Request, s State, head *config.Head, records []config.Record, claimants []service.Service) error {
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
	for _, svc := range claimants {
		left, err := claim(svc, head.Quarantined, s.Hosts, r.At)
		if err != nil {
			return err
		}
		head.Quarantined = left
	}
	return nil
}

// paginate fills in the head's pages: those without a change stay, the others are new.
func (p *plan) paginate(head *config.Head, records []config.Record, s State) error {
	touched := map[int]bool{}
	for _, c := range p.changes {
		touched[config.BucketOf(c.name)] = true
	}
	if s.Bundle != nil {
		for _, ref := range s.Bundle.Head.Pages {
			if !touched[ref.Bucket] {
				head.Pages = append(head.Pages, ref)
			}
		}
	}
	buckets := map[int][]config.Record{}
	for _, record := range records {
		if bucket := config.BucketOf(record.Service.Name); touched[bucket] {
			buckets[bucket] = append(buckets[bucket], record)
		}
	}
	for bucket, contents := range buckets {
		page, err := config.EncodePage(config.Page{Bucket: bucket, Version: p.version, Services: contents})
		if err != nil {
			return err
		}
		if len(page.Data) > config.MaxObjectBytes {
			return &config.TooLargeError{Object: page.Ref.Key(), Bytes: len(page.Data), LargestService: largest(contents)}
		}
		head.Pages = append(head.Pages, page.Ref)
		p.pages = append(p.pages, page)
	}
	byBucket := func(a, b config.PageRef) int { return cmp.Compare(a.Bucket, b.Bucket) }
	slices.SortFunc(head.Pages, byBucket)
	slices.SortFunc(p.pages, func(a, b config.PageData) int { return byBucket(a.Ref, b.Ref) })
	return nil
}

func largest(records []config.Record) string {
	most := slices.MaxFunc(records, func(a, b config.Record) int {
		return cmp.Compare(len(a.Service.Upstreams), len(b.Service.Upstreams))
	})
	return most.Service.Name
}
