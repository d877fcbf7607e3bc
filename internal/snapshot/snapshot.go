// Package snapshot encodes the catalog of an entry host as a snapshot that hosts keep in
// the platform's store, and decides which host writes it and when. A host that starts
// reads the snapshot instead of the listing of the whole store, which is many times as
// large.
package snapshot

import (
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/gobpack"
)

// A sealed snapshot consists of a format byte, the epoch and the revision of the position,
// the configuration version, an HMAC of all other bytes, and a catalog.Page encoded by
// gobpack.Pack.
const (
	// format changes when earlier builds leave out what this one needs, such as evacuations.
	format         = 3
	epochOffset    = 1
	revisionOffset = 9
	versionOffset  = 17
	macOffset      = 25
	pageOffset     = macOffset + sha256.Size
	// macInfo is the HKDF info of the HMAC's key. It makes the key differ from any other
	// key derived from the peer key.
	macInfo = "oatlatch snapshot"
	// maxBytes limits the size of a snapshot. In the store it takes four thirds of it,
	// and the store's limit for a value is about 1 MB.
	maxBytes = 700 << 10
)

var (
	// ErrInvalid means that the bytes are not a snapshot of a host with the same peer
	// key.
	ErrInvalid = errors.New("not a snapshot of a host with this peer key: read a listing")
	// ErrTooLarge means that the catalog does not fit into a snapshot.
	ErrTooLarge = errors.New("the catalog does not fit into a snapshot: hosts that start read a listing")
)

// Seal encodes the page, which must hold a whole catalog, and authenticates it with the
// peer key. version is the version of the catalog's configuration.
func Seal(peerKey []byte, page *catalog.Page, version uint64) ([]byte, error) {
	packed, err := gobpack.Pack(page)
	if err != nil {
		return nil, fmt.Errorf("seal snapshot: %w", err)
	}
	if pageOffset+len(packed) > maxBytes {
		return nil, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, pageOffset+len(packed), maxBytes)
	}
	sealed := make([]byte, pageOffset, pageOffset+len(packed))
	sealed[0] = format
	binary.BigEndian.PutUint64(sealed[epochOffset:], page.Position.Epoch)
	binary.BigEndian.PutUint64(sealed[revisionOffset:], page.Position.Revision)
	binary.BigEndian.PutUint64(sealed[versionOffset:], version)
	sealed = append(sealed, packed...)
	mac, err := macOf(peerKey, sealed)
	if err != nil {
		return nil, err
	}
	copy(sealed[macOffset:], mac)
	return sealed, nil
}

// Header returns the position and configuration version that the sealed snapshot states.
// It does not check that they are authentic.
func Header(sealed []byte) (catalog.Have, error) {
	if len(sealed) < pageOffset || len(sealed) > maxBytes || sealed[0] != format {
		return catalog.Have{}, fmt.Errorf("%w: %d bytes", ErrInvalid, len(sealed))
	}
	return catalog.Have{
		Position: catalog.Position{Epoch: binary.BigEndian.Uint64(sealed[epochOffset:]), Revision: binary.BigEndian.Uint64(sealed[revisionOffset:])},
		Version:  binary.BigEndian.Uint64(sealed[versionOffset:]),
	}, nil
}

// Precedes reports whether a snapshot of the position can have been written at the position
// written. A snapshot of an earlier epoch cannot: it was taken before the store was
// restored, and a host that was paused since may have written it.
func Precedes(position, written catalog.Position) bool {
	return position.Revision != 0 && position.Epoch == written.Epoch && written.After(position)
}

// Open checks and decodes a snapshot that was sealed with the peer key and stored at the
// position written. The page is marked as unconfirmed.
func Open(peerKey, sealed []byte, written catalog.Position) (catalog.Page, error) {
	header, err := Header(sealed)
	if err != nil {
		return catalog.Page{}, err
	}
	mac, err := macOf(peerKey, sealed)
	if err != nil {
		return catalog.Page{}, err
	}
	if !hmac.Equal(mac, sealed[macOffset:pageOffset]) {
		return catalog.Page{}, fmt.Errorf("%w: the HMAC differs", ErrInvalid)
	}
	var page catalog.Page
	if err := gobpack.Unpack(sealed[pageOffset:], &page); err != nil {
		return catalog.Page{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if page.Position != header.Position || !Precedes(page.Position, written) {
		return catalog.Page{}, fmt.Errorf("%w: of epoch %d and revision %d, stored in epoch %d at revision %d",
			ErrInvalid, page.Position.Epoch, page.Position.Revision, written.Epoch, written.Revision)
	}
	page.Unconfirmed, page.Current, page.Next, page.Age, page.Via = true, false, "", 0, ""
	return page, nil
}

// macOf returns the HMAC of a sealed snapshot without the bytes of the HMAC itself.
func macOf(peerKey, sealed []byte) ([]byte, error) {
	if len(peerKey) == 0 {
		return nil, fmt.Errorf("%w: the store has no peer key", ErrInvalid)
	}
	key, err := hkdf.Key(sha256.New, peerKey, nil, macInfo, sha256.Size)
	if err != nil {
		return nil, fmt.Errorf("derive the key of snapshots: %w", err)
	}
	mac := hmac.New(sha256.New, key)
	mac.Write(sealed[:macOffset])
	mac.Write(sealed[pageOffset:])
	return mac.Sum(nil), nil
}
