package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/oatlatch/oatlatch/internal/service"
)

// Buckets is the number of pages over which services are spread by name. At
// 1,200 services a page then holds 19 of them, and a page and the head are of
// like size.
const Buckets = 64

// Page holds the services of one bucket, sorted by name.
type Page struct {
	Bucket int
	// Version is the manifest version that wrote the page. It keeps a page's hash
	// from ever coming back, so that unused pages can be deleted.
	Version  Version
	Services []Record
}

// Record is one service and what is known of its last change.
type Record struct {
	// Changed is the manifest version that last changed the service.
	Changed Version
	// Publication is the ID of the publication that last changed it.
	Publication string
	Service     service.Service
}

// PageData is a page in its stored form.
type PageData struct {
	Ref  PageRef
	Data []byte
}

// BucketOf returns the bucket of the service name.
func BucketOf(name string) int {
	sum := sha256.Sum256([]byte(name))
	return int(sum[0]) % Buckets
}

// HashOf returns the SHA-256 in hexadecimal.
func HashOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// HashService returns the content hash of a service. The assigned ID is not part of it.
func HashService(svc service.Service) (string, error) {
	svc.ID = 0
	data, err := json.Marshal(svc)
	if err != nil {
		return "", fmt.Errorf("encode service %q: %w", svc.Name, err)
	}
	return HashOf(data), nil
}

// EncodePage returns the stored form of the page.
func EncodePage(page Page) (PageData, error) {
	data, err := json.Marshal(page)
	if err != nil {
		return PageData{}, fmt.Errorf("encode page %d: %w", page.Bucket, err)
	}
	return PageData{Ref: PageRef{Bucket: page.Bucket, Version: page.Version, Hash: HashOf(data)}, Data: data}, nil
}

// DecodePage parses the stored form of the page that ref names.
func DecodePage(ref PageRef, data []byte) (Page, error) {
	if HashOf(data) != ref.Hash {
		return Page{}, &InvalidError{Object: ref.Key(), Reason: "contents do not match the hash"}
	}
	var page Page
	if err := json.Unmarshal(data, &page); err != nil {
		return Page{}, &InvalidError{Object: ref.Key(), Reason: err.Error()}
	}
	if page.Bucket != ref.Bucket || page.Version != ref.Version {
		return Page{}, &InvalidError{Object: ref.Key(), Reason: "page belongs elsewhere"}
	}
	for i, record := range page.Services {
		if BucketOf(record.Service.Name) != page.Bucket || (i > 0 && record.Service.Name <= page.Services[i-1].Service.Name) {
			return Page{}, &InvalidError{Object: ref.Key(), Reason: fmt.Sprintf("service %q is out of place", record.Service.Name)}
		}
	}
	return page, nil
}
