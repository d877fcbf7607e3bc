package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/oatlatch/oatlatch/internal/service"
)

// NumBuckets is the number of buckets, and so of pages, over which services are distributed by
// name. With 1,200 services a page holds 19 of them on average, and pages and the head have
// similar sizes.
const NumBuckets = 64

// Page holds the services of one bucket, sorted by name.
type Page struct {
	Bucket int
	// Version is the manifest version in which the page was written. It makes the hash of
	// every written page unique even if the services are the same as in an earlier page, so
	// that an unused page can be deleted without being referenced again.
	Version  Version
	Services []Record
}

// Record is a service together with the version and publication of its last change.
type Record struct {
	// Changed is the manifest version in which the service last changed.
	Changed Version
	// Publication is the ID of the publication that last changed it.
	Publication string
	Service     service.Service
}

// PageData is a page in stored form.
type PageData struct {
	Ref  PageRef
	Data []byte
}

// BucketOf returns the bucket of the service with the name.
func BucketOf(name string) int {
	sum := sha256.Sum256([]byte(name))
	return int(sum[0]) % NumBuckets
}

// ContentHash returns the SHA-256 hash of the data in hexadecimal.
func ContentHash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// HashService returns the content hash of a service. The hash does not cover the ID, which is
// assigned at publication.
func HashService(svc service.Service) (string, error) {
	svc.ID = 0
	data, err := json.Marshal(svc)
	if err != nil {
		return "", fmt.Errorf("encode service %q: %w", svc.Name, err)
	}
	return ContentHash(data), nil
}

// EncodePage returns the stored form of the page.
func EncodePage(page Page) (PageData, error) {
	data, err := json.Marshal(page)
	if err != nil {
		return PageData{}, fmt.Errorf("encode page %d: %w", page.Bucket, err)
	}
	return PageData{Ref: PageRef{Bucket: page.Bucket, Version: page.Version, Hash: ContentHash(data)}, Data: data}, nil
}

// DecodePage parses and validates the stored form of the page with the reference.
func DecodePage(ref PageRef, data []byte) (Page, error) {
	if ContentHash(data) != ref.Hash {
		return Page{}, &InvalidError{Object: ref.Key(), Reason: "contents do not match the hash"}
	}
	var page Page
	if err := json.Unmarshal(data, &page); err != nil {
		return Page{}, &InvalidError{Object: ref.Key(), Reason: err.Error()}
	}
	if page.Bucket != ref.Bucket || page.Version != ref.Version {
		return Page{}, &InvalidError{Object: ref.Key(), Reason: "bucket or version is not that of the reference"}
	}
	for i, record := range page.Services {
		if BucketOf(record.Service.Name) != page.Bucket || (i > 0 && record.Service.Name <= page.Services[i-1].Service.Name) {
			return Page{}, &InvalidError{Object: ref.Key(), Reason: fmt.Sprintf("service %q is in the wrong bucket, repeated or not in order of names", record.Service.Name)}
		}
	}
	return page, nil
}
