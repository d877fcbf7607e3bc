package config_test

import (
	"testing"

	"github.com/oatlatch/oatlatch/internal/config"
)

// FuzzNewBundle builds a configuration from a head and a page as a peer sends them. The head is
// made to name the page, as an intact hash is no proof of sound contents. A configuration that
// is accepted must be complete.
func FuzzNewBundle(f *testing.F) {
	head, pages := storedConfiguration(f, 1)
	for _, page := range pages {
		f.Add(head, page.Data)
	}
	f.Add([]byte(`{"Format":1,"Version":1}`), []byte(`{"Services":[{},{}]}`))
	f.Fuzz(func(t *testing.T, headData, pageData []byte) {
		head, err := config.DecodeHead(headData)
		if err != nil {
			return
		}
		page := config.PageData{Data: pageData}
		if len(head.Pages) > 0 {
			head.Pages = head.Pages[:1]
			head.Pages[0].Hash = config.ContentHash(pageData)
			page.Ref = head.Pages[0]
		}
		if headData, err = config.EncodeHead(head); err != nil {
			t.Fatal(err)
		}
		b, err := config.NewBundle(headData, []config.PageData{page}, nil)
		if err != nil {
			return
		}
		if len(b.Snapshot.Services) != len(b.Snapshot.Manifest.Services) || len(b.MissingPages(b.Head)) != 0 {
			t.Errorf("accepted an incomplete configuration: %+v", b.Snapshot)
		}
		b.PagesSince(0, len(pageData))
		b.Snapshot.Records()
	})
}
