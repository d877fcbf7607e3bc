package config

import (
	"encoding/json"

	"github.com/oatlatch/oatlatch/internal/service"
)

// Format is the version of the stored form that this code reads and writes.
const Format = 1

// MaxPublications is the number of publications that a head remembers.
const MaxPublications = 32

// Head is the stored root of a configuration. It names the pages that hold the
// services, so that a change of one service replaces one page and the head.
type Head struct {
	Format       int
	Version      Version
	NextID       service.ID
	FlowKey      []byte
	TicketKeys   [][]byte
	Pages        []PageRef
	Quarantined  []Quarantine  `json:",omitempty"`
	Publications []Publication `json:",omitempty"`
}

// PageRef names a page by its content.
type PageRef struct {
	Bucket int
	// Version is the manifest version that wrote the page.
	Version Version
	// Hash is the SHA-256 of the page in hexadecimal.
	Hash string
}

// EncodeHead returns the stored form of the head.
func EncodeHead(head Head) ([]byte, error) { return json.Marshal(head) }

// DecodeHead parses and checks the stored form of a head.
func DecodeHead(data []byte) (Head, error) {
	var head Head
	if err := json.Unmarshal(data, &head); err != nil {
		return Head{}, &InvalidError{Object: "head", Reason: err.Error()}
	}
	if err := head.check(); err != nil {
		return Head{}, err
	}
	return head, nil
}

func (h Head) check() error {
	switch {
	case h.Format != Format:
		return &FormatError{Format: h.Format}
	case h.Version == 0:
		return &InvalidError{Object: "head", Reason: "version is zero"}
	case len(h.FlowKey) != len(Manifest{}.FlowKey):
		return &InvalidError{Object: "head", Reason: "flow key has a wrong length"}
	}
	for i, ref := range h.Pages {
		if ref.Bucket < 0 || ref.Bucket >= Buckets || (i > 0 && ref.Bucket <= h.Pages[i-1].Bucket) {
			return &InvalidError{Object: "head", Reason: "pages are not sorted by bucket"}
		}
	}
	return nil
}
