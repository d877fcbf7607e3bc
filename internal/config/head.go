package config

import (
	"encoding/json"

	"github.com/oatlatch/oatlatch/internal/service"
)

// FormatVersion is the version of the stored format that this program reads and writes.
const FormatVersion = 1

// MaxPublications is the maximum number of publications listed in a head.
const MaxPublications = 32

// Head is the stored root object of a configuration. The services are stored in separate pages
// that it references, so that a change of one service rewrites only one page and the head. See
// Manifest for the other fields.
type Head struct {
	// Format is the FormatVersion of the program that wrote the head.
	Format     int
	Version    Version
	NextID     service.ID
	FlowKey    []byte
	TicketKeys [][]byte
	// Pages are sorted by bucket. Empty buckets have no page.
	Pages        []PageRef
	Quarantined  []Quarantine  `json:",omitempty"`
	Publications []Publication `json:",omitempty"`
}

// PageRef identifies a page by its content.
type PageRef struct {
	Bucket int
	// Version is the manifest version in which the page was written.
	Version Version
	// Hash is the ContentHash of the stored form of the page.
	Hash string
}

// EncodeHead returns the stored form of the head.
func EncodeHead(head Head) ([]byte, error) { return json.Marshal(head) }

// DecodeHead parses and validates the stored form of a head.
func DecodeHead(data []byte) (Head, error) {
	var head Head
	if err := json.Unmarshal(data, &head); err != nil {
		return Head{}, &InvalidError{Object: "head", Reason: err.Error()}
	}
	if err := head.validate(); err != nil {
		return Head{}, err
	}
	return head, nil
}

// validate validates the format, the required fields and the order of the pages.
func (h Head) validate() error {
	switch {
	case h.Format != FormatVersion:
		return &FormatError{Format: h.Format}
	case h.Version == 0:
		return &InvalidError{Object: "head", Reason: "version is zero"}
	case len(h.FlowKey) != len(Manifest{}.FlowKey):
		return &InvalidError{Object: "head", Reason: "flow key has a wrong length"}
	}
	for i, ref := range h.Pages {
		if ref.Bucket < 0 || ref.Bucket >= NumBuckets || (i > 0 && ref.Bucket <= h.Pages[i-1].Bucket) {
			return &InvalidError{Object: "head", Reason: "page buckets are out of range, repeated or not in ascending order"}
		}
	}
	return nil
}
