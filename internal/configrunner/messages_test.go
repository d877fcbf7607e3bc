package configrunner_test

import (
	"bytes"
	"encoding/gob"
	"strings"
	"testing"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/configrunner"
)

// TestLargestObjectFitsAMessage guards against stored objects that peers cannot exchange:
// the largest page and head must fit the default message size of the peers' transport.
func TestLargestObjectFitsAMessage(t *testing.T) {
	const messageBytes = 1 << 20
	ref := config.PageRef{Bucket: config.NumBuckets - 1, Version: 1 << 62, Hash: strings.Repeat("f", 64)}
	page := config.PageData{Ref: ref, Data: make([]byte, config.MaxObjectBytes)}
	for name, reply := range map[string]any{
		"page": configrunner.FetchReply{Pages: []config.PageData{page}},
		"head": configrunner.PullReply{Version: 1 << 62, Head: make([]byte, config.MaxObjectBytes)},
	} {
		var encoded bytes.Buffer
		if err := gob.NewEncoder(&encoded).Encode(reply); err != nil {
			t.Fatal(err)
		}
		if encoded.Len() >= messageBytes {
			t.Errorf("the largest %s takes %d bytes, but a message may have at most %d", name, encoded.Len(), messageBytes)
		}
	}
}
