package publish

import (
	"fmt"
	"strings"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/host"
)

// ConflictError says that another publication changed the same service.
type ConflictError struct {
	Service string
	// Other is the publication that landed first.
	Other config.Publication
}

// Error names the other publication and the remedy.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("service %q was changed by publication %s since this one was prepared; nothing was written: take its change into the service file, then publish again", e.Service, e.Other)
}

// QuarantinedError says that an address was released too recently to be reused.
type QuarantinedError struct {
	Service string
	Entry   config.Quarantine
	// Waiting are hosts that have not yet confirmed the release.
	Waiting []host.ID
	Reason  string
}

// Error names what is awaited and the remedy.
func (e *QuarantinedError) Error() string {
	what := "address " + e.Entry.Address.String()
	switch {
	case e.Entry.RequestHost != "":
		what = "request host " + e.Entry.RequestHost
	case e.Entry.Upstream.IsValid():
		what = "upstream address " + e.Entry.Upstream.String()
	}
	return fmt.Sprintf("%s, wanted by service %q, was released in version %d and may still be in use: %s; nothing was written: use another or publish again later", what, e.Service, e.Entry.Released, e.Reason)
}

// UnknownServiceError says that a service to remove is not published.
type UnknownServiceError struct {
	Service string
}

// Error names the service and the remedy.
func (e *UnknownServiceError) Error() string {
	return fmt.Sprintf("service %q is not published and cannot be removed: check the name", e.Service)
}

// InvalidServiceError says that a service cannot be published.
type InvalidServiceError struct {
	Service string
	Reason  string
}

// Error names the service and the reason.
func (e *InvalidServiceError) Error() string {
	return fmt.Sprintf("service %q cannot be published: %s", e.Service, e.Reason)
}

// NotPublishedError says that a publication had no effect.
type NotPublishedError struct {
	Publication string
	Err         error
}

// Error names the cause and the remedy.
func (e *NotPublishedError) Error() string {
	return fmt.Sprintf("publication %s was not published: %v", e.Publication, e.Err)
}

// Unwrap returns the cause.
func (e *NotPublishedError) Unwrap() error { return e.Err }

// UnknownOutcomeError says that a publication may or may not have been published.
type UnknownOutcomeError struct {
	Publication string
	Version     config.Version
	Services    []string
	Reason      string
}

// Error names the cause and the remedy.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("publication %s (version %d, services %s) may or may not have been published: %s: publish the same files again, which writes only what differs", e.Publication, e.Version, strings.Join(e.Services, ", "), e.Reason)
}

// ContentionError says that other publications kept landing first.
type ContentionError struct {
	Publication string
	Swaps       int
}

// Error names the count and the remedy.
func (e *ContentionError) Error() string {
	return fmt.Sprintf("publication %s was not published: other publications landed first %d times: publish again when they have ended", e.Publication, e.Swaps)
}
