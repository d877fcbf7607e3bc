// Package gobpack encodes messages as gob and compresses the large ones.
package gobpack

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"sync"
)

const (
	// maxUnpackedBytes is the maximum size of a message after decompression. It is
	// several times the size of the catalog of a large deployment.
	maxUnpackedBytes = 16 << 20
	// compressionThreshold is the size in bytes from which messages are compressed.
	// Compression of smaller ones saves too few packets to be worth the CPU time.
	compressionThreshold = 4 << 10
)

// Values of the first byte of a message, which tells whether the rest is compressed.
const (
	plainMessage      = 0
	compressedMessage = 1
)

// compressorPool reuses compressors, because each allocates about 1 MB of tables.
var compressorPool sync.Pool

// errEmptyMessage means that a message lacks even the first byte.
var errEmptyMessage = errors.New("message is empty")

// Pack encodes a value as gob and compresses the result if it is large. Compression pays
// off because routes and upstreams resemble each other, and a host's link may be slow.
func Pack(value any) ([]byte, error) {
	plain := bytes.NewBuffer([]byte{plainMessage})
	if err := gob.NewEncoder(plain).Encode(value); err != nil {
		return nil, fmt.Errorf("pack message: %w", err)
	}
	if plain.Len() < compressionThreshold {
		return plain.Bytes(), nil
	}
	compressed := bytes.NewBuffer([]byte{compressedMessage})
	compressor, ok := compressorPool.Get().(*flate.Writer)
	if !ok {
		var err error
		if compressor, err = flate.NewWriter(compressed, flate.BestSpeed); err != nil {
			return nil, fmt.Errorf("pack message: %w", err)
		}
	}
	defer compressorPool.Put(compressor)
	compressor.Reset(compressed)
	if _, err := compressor.Write(plain.Bytes()[1:]); err != nil {
		return nil, fmt.Errorf("pack message: %w", err)
	}
	if err := compressor.Close(); err != nil {
		return nil, fmt.Errorf("pack message: %w", err)
	}
	return compressed.Bytes(), nil
}

// Unpack decodes a message encoded by Pack into target.
func Unpack(packed []byte, target any) error {
	if len(packed) == 0 {
		return fmt.Errorf("unpack message: %w", errEmptyMessage)
	}
	var reader io.Reader = bytes.NewReader(packed[1:])
	if packed[0] == compressedMessage {
		reader = flate.NewReader(reader)
	}
	if err := gob.NewDecoder(io.LimitReader(reader, maxUnpackedBytes)).Decode(target); err != nil {
		return fmt.Errorf("unpack message: %w", err)
	}
	return nil
}
