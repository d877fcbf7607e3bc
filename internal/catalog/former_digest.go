package catalog

import (
	"encoding/binary"
	"hash/fnv"
)

// FormerDigest identifies a set of former services. It shows whether two hosts know the same
// ones, of which positions of an earlier epoch tell nothing.
type FormerDigest struct {
	// Count is the number of former services, and Lost that of those dropped in an earlier
	// epoch.
	Count, Lost int
	// Sum is the sum of the hashes of addresses and services.
	Sum uint64
}

// digestFormer returns the digest of the former services.
func (c *Catalog) digestFormer() FormerDigest {
	if c.formerDigest != nil {
		return *c.formerDigest
	}
	d := &FormerDigest{Count: len(c.former)}
	for key, e := range c.former {
		address := key.address.Addr().As16()
		h := fnv.New64a()
		_, _ = h.Write(binary.BigEndian.AppendUint16(address[:], key.address.Port()))
		_, _ = h.Write([]byte(key.service))
		d.Sum += h.Sum64()
		if e.dropped.Epoch < c.epoch {
			d.Lost++
		}
	}
	c.formerDigest = d
	return *d
}

// KnowsOtherFormer reports whether a host with the state h has former services from before a
// restore of the store which one with the state other may lack. It is false for a host that
// has dropped some because there were too many: two such hosts would never agree.
func (h Have) KnowsOtherFormer(other Have) bool {
	return h.Former.Lost > 0 && h.Former.Count < maxFormerServices && h.Former.Sum != other.Former.Sum
}
