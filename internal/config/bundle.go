package config

import (
	"slices"
	"strings"

	"github.com/oatlatch/oatlatch/internal/service"
)

// Bundle is a complete configuration in decoded form together with its stored form, which
// the host sends to its peers and restores to the platform. It is immutable.
type Bundle struct {
	Head Head
	// HeadData is the stored form of Head and HeadHash its ContentHash.
	HeadData []byte
	HeadHash string
	Snapshot *Snapshot
	// pages has the same order as Head.Pages, which is sorted by bucket.
	pages []loadedPage
}

// loadedPage is a page in stored and decoded form.
type loadedPage struct {
	PageData
	decoded       Page
	serviceHashes []string
}

// NewBundle builds a configuration from the stored form of its head and pages. It reuses pages
// that previous, which may be nil, already holds; these may be omitted from pages.
func NewBundle(headData []byte, pages []PageData, previous *Bundle) (*Bundle, error) {
	head, err := DecodeHead(headData)
	if err != nil {
		return nil, err
	}
	b := &Bundle{Head: head, HeadData: headData, HeadHash: ContentHash(headData)}
	for _, ref := range head.Pages {
		page, err := loadPage(ref, pages, previous)
		if err != nil {
			return nil, err
		}
		b.pages = append(b.pages, page)
	}
	b.Snapshot, err = b.buildSnapshot()
	if err != nil {
		return nil, err
	}
	return b, nil
}

// loadPage returns the page from previous if it holds the page, and otherwise decodes it from
// pages.
func loadPage(ref PageRef, pages []PageData, previous *Bundle) (loadedPage, error) {
	if page, ok := previous.findPage(ref); ok {
		return page, nil
	}
	i := slices.IndexFunc(pages, func(p PageData) bool { return p.Ref == ref })
	if i < 0 {
		return loadedPage{}, &InvalidError{Object: ref.Key(), Reason: "page is missing"}
	}
	page, err := DecodePage(ref, pages[i].Data)
	if err != nil {
		return loadedPage{}, err
	}
	loaded := loadedPage{PageData: pages[i], decoded: page}
	for _, record := range page.Services {
		hash, err := HashService(record.Service)
		if err != nil {
			return loadedPage{}, err
		}
		loaded.serviceHashes = append(loaded.serviceHashes, hash)
	}
	return loaded, nil
}

// Version returns the version of the configuration, or zero if b is nil.
func (b *Bundle) Version() Version {
	if b == nil {
		return 0
	}
	return b.Head.Version
}

// Page returns the stored form of the page and whether the bundle holds it.
func (b *Bundle) Page(ref PageRef) (PageData, bool) {
	page, ok := b.findPage(ref)
	return page.PageData, ok
}

// PagesSince returns the pages that were written after the version, or nil if their total size
// exceeds limit bytes.
func (b *Bundle) PagesSince(version Version, limit int) []PageData {
	if b == nil {
		return nil
	}
	var pages []PageData
	for _, page := range b.pages {
		if page.Ref.Version <= version {
			continue
		}
		if limit -= len(page.Data); limit < 0 {
			return nil
		}
		pages = append(pages, page.PageData)
	}
	return pages
}

// MissingPages returns the references of the pages of head that the bundle does not hold. It
// returns all of them if b is nil.
func (b *Bundle) MissingPages(head Head) []PageRef {
	var missing []PageRef
	for _, ref := range head.Pages {
		if _, ok := b.findPage(ref); !ok {
			missing = append(missing, ref)
		}
	}
	return missing
}

// findPage returns the page with the reference and whether the bundle holds it.
func (b *Bundle) findPage(ref PageRef) (loadedPage, bool) {
	if b == nil {
		return loadedPage{}, false
	}
	i, ok := slices.BinarySearchFunc(b.Head.Pages, ref.Bucket, func(r PageRef, bucket int) int { return r.Bucket - bucket })
	if !ok || b.Head.Pages[i] != ref {
		return loadedPage{}, false
	}
	return b.pages[i], true
}

// buildSnapshot builds the snapshot from the pages and checks that IDs, names, addresses and
// request hosts are unique among all services.
func (b *Bundle) buildSnapshot() (*Snapshot, error) {
	type item struct {
		entry Entry
		svc   service.Service
	}
	var items []item
	assigned := map[service.ID]bool{}
	for _, page := range b.pages {
		for i, record := range page.decoded.Services {
			id := record.Service.ID
			if id == 0 || id >= b.Head.NextID || assigned[id] {
				return nil, &InvalidError{Object: "head", Reason: "service " + record.Service.Name + " has an ID that is zero, not yet assigned or used twice"}
			}
			assigned[id] = true
			items = append(items, item{newEntry(record, page.serviceHashes[i]), record.Service})
		}
	}
	slices.SortFunc(items, func(a, c item) int { return strings.Compare(a.entry.Name, c.entry.Name) })
	s := &Snapshot{Manifest: b.Head.manifest()}
	for _, it := range items {
		s.Manifest.Services = append(s.Manifest.Services, it.entry)
		s.Services = append(s.Services, it.svc)
	}
	if err := CheckDuplicates(s.Services); err != nil {
		return nil, &InvalidError{Object: "head", Reason: err.Error()}
	}
	return s, nil
}

func newEntry(record Record, hash string) Entry {
	return Entry{
		Name:        record.Service.Name,
		ID:          record.Service.ID,
		Address:     record.Service.Address,
		Protocol:    record.Service.Protocol,
		Hash:        hash,
		Changed:     record.Changed,
		Publication: record.Publication,
	}
}

// manifest returns the manifest of the head without Services, which are stored in the pages.
func (h Head) manifest() Manifest {
	m := Manifest{
		Version:      h.Version,
		NextID:       h.NextID,
		TicketKeys:   h.TicketKeys,
		Quarantined:  h.Quarantined,
		Publications: h.Publications,
	}
	copy(m.FlowKey[:], h.FlowKey)
	return m
}
