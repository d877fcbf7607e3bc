package configrunner

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
)

// Names of the RPC methods that peers call.
const (
	methodPull   = "Config.Pull"
	methodFetch  = "Config.Fetch"
	methodNotify = "Config.Notify"
)

// PullArgs asks for the head if the adopted version is higher than Version.
type PullArgs struct{ Version config.Version }

// PullReply holds the adopted version, and the head if that version is higher than the
// one in PullArgs.
type PullReply struct {
	Version config.Version
	Head    []byte
	// Pages are the pages written after the version in PullArgs, or none if they exceed a
	// size limit.
	Pages []config.PageData
	// ConfirmedAge is the time since the latest read of the platform, by any host, that
	// the replying host knows of; negative if it knows of none.
	ConfirmedAge time.Duration
}

// FetchArgs asks for the stored form of pages.
type FetchArgs struct{ Refs []config.PageRef }

// FetchReply holds the requested pages that the peer has, up to a size limit.
type FetchReply struct{ Pages []config.PageData }

// NotifyArgs announces the version that the sending host has adopted.
type NotifyArgs struct{ Version config.Version }

// NotifyReply holds the version that the notified host has adopted.
type NotifyReply struct{ Version config.Version }
