package adopt

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
)

// Names of the methods that peers call.
const (
	methodPull   = "Config.Pull"
	methodFetch  = "Config.Fetch"
	methodNotify = "Config.Notify"
)

// PullArgs ask for the head if it is higher than Version.
type PullArgs struct{ Version config.Version }

// PullReply holds the adopted version, and the head if it is higher than the asked one.
type PullReply struct {
	Version config.Version
	Head    []byte
	// Pages are those that are newer than the asked version, if they are few.
	Pages []config.PageData
	// ConfirmedAge is how long ago a host was known to have read the platform;
	// negative when that is not known.
	ConfirmedAge time.Duration
}

// FetchArgs ask for pages.
type FetchArgs struct{ Refs []config.PageRef }

// FetchReply holds those of the pages that the peer has, up to a size.
type FetchReply struct{ Pages []config.PageData }

// NotifyArgs tell of an adopted version.
type NotifyArgs struct{ Version config.Version }

// NotifyReply holds the version that the notified host has.
type NotifyReply struct{ Version config.Version }
