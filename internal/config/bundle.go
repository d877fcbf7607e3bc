package config

import (
	"slices"
	"strings"

	"github.com/oatlatch/oatlatch/internal/service"
)

// Bundle is a complete configuration together with its stored form, which a host
// passes on to its peers. It is immutable.
type Bundle struct {
	Head     Head
	HeadData []byte
	HeadHash string
	Snapshot *Snapshot
	// pages are sorted by bucket, as Head.Pages.
	pages []loadedPage
}

// loadedPage is a page in its stored and its decoded form.
type loadedPage struct {
	PageData
	page   Page
	hashes []string
}

// NewBundle assembles a configuration from the stored form of its head and pages.
// Pages that previous holds as well need not be among the given ones.
func NewBundle(headData []byte, pages []PageData, previous *Bundle) (*Bundle, error) {
	head, err := DecodeHead(headData)
	if err != nil {
		return nil, err
	}
	b := &Bundle{Head: head, HeadData: headData, HeadHash: HashOf(headData)}
	for _, ref := range head.Pages {
		page, err := load(ref, pages, previous)
		if err != nil {
			return nil, err
		}
		b.pages = append(b.pages, page)
	}
	b.Snapshot, err = b.assemble()
	if err != nil {
		return nil, err
	}
	return b, nil
}

func load(ref PageRef, pages []PageData, previous *Bundle) (loadedPage, error) {
	if page, ok := previous.loaded(ref); ok {
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
	loaded := loadedPage{PageData: pages[i], page: page}
	for _, record := range page.Services {
		hash, err := HashService(record.Service)
		if err != nil {
			return loadedPage{}, err
		}
		loaded.hashes = append(loaded.hashes, hash)
	}
	return loaded, nil
}

// Version returns the version; zero stands for no configuration.
func (b *Bundle) Version() Version {
	if b == nil {
		return 0
	}
	return b.Head.Version
}

// Page returns the stored form of the page.
func (b *Bundle) Page(ref PageRef) (PageData, bool) {
	page, ok := b.loaded(ref)
	return page.PageData, ok
}

// PagesSince returns the pages that were written after the version, or none if they
// exceed the limit in bytes.
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

// Missing returns the pages of head that the bundle does not hold.
func (b *Bundle) Missing(head Head) []PageRef {
	var missing []PageRef
	for _, ref := range head.Pages {
		if _, ok := b.loaded(ref); !ok {
			missing = append(missing, ref)
		}
	}
	return missing
}

func (b *Bundle) loaded(ref PageRef) (loadedPage, bool) {
	if b == nil {
		return loadedPage{}, false
	}
	i, ok := slices.BinarySearchFunc(b.Head.Pages, ref.Bucket, func(r PageRef, bucket int) int { return r.Bucket - bucket })
	if !ok || b.Head.Pages[i] != ref {
		return loadedPage{}, false
	}
	return b.pages[i], true
}

// assemble builds the snapshot from the pages and checks it as a whole.
func (b *Bundle) assemble() (*Snapshot, error) {
	type item struct {
		entry Entry
		svc   service.Service
	}
	var items []item
	assigned := map[service.ID]bool{}
	for _, page := range b.pages {
		for i, record := range page.page.Services {
			id := record.Service.ID
			if id == 0 || id >= b.Head.NextID || assigned[id] {
				return nil, &InvalidError{Object: "head", Reason: "service " + record.Service.Name + " has no ID of its own"}
			}
			assigned[id] = true
			items = append(items, item{newEntry(record, page.hashes[i]), record.Service})
		}
	}
	slices.SortFunc(items, func(a, c item) int { return strings.Compare(a.entry.Name, c.entry.Name) })
	s := &Snapshot{Manifest: b.Head.manifest()}
	for _, it := range items {
		s.Manifest.Services = append(s.Manifest.Services, it.entry)
		s.Services = append(s.Services, it.svc)
	}
	if err := CheckServices(s.Services); err != nil {
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

// manifest returns the manifest without its services.
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
