package publish

import (
	"fmt"
	"strings"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/host"
)

// ConflictError reports that another publication changed the same service.
type ConflictError struct {
	Service string
	// Other is the publication that changed the service first.
	Other config.Publication
}

// Error names the other publication and the remedy.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("service %q was changed by publication %s after this one was prepared; nothing was written: merge that change into the service file, then publish again", e.Service, e.Other)
}

// QuarantinedError reports that an address, request host or upstream address was
// released by another service and may not be reused yet.
type QuarantinedError struct {
	Service string
	Entry   config.Quarantine
	// Unconfirmed lists hosts that have not yet confirmed the release.
	Unconfirmed []host.ID
	// Reason says why the quarantine still holds.
	Reason string
}

// Error names the quarantined address, the reason and the remedy.
func (e *QuarantinedError) Error() string {
	released := "address " + e.Entry.Address.String()
	switch {
	case e.Entry.RequestHost != "":
		released = "request host " + e.Entry.RequestHost
	case e.Entry.Upstream.IsValid():
		released = "upstream address " + e.Entry.Upstream.String()
	}
	return fmt.Sprintf("%s, requested by service %q, was released in version %d and may still be in use: %s; nothing was written: use another one or publish again later", released, e.Service, e.Entry.Released, e.Reason)
}

// UnknownServiceError reports that a service to remove is not published.
type UnknownServiceError struct {
	Service string
}

// Error names the service and the remedy.
func (e *UnknownServiceError) Error() string {
	return fmt.Sprintf("service %q is not published and cannot be removed: check the name", e.Service)
}

// InvalidServiceError reports that a service cannot be published.
type InvalidServiceError struct {
	Service string
	Reason  string
}

// Error names the service and the reason.
func (e *InvalidServiceError) Error() string {
	return fmt.Sprintf("service %q cannot be published: %s", e.Service, e.Reason)
}

// NotPublishedError reports that a publication failed and had no effect.
type NotPublishedError struct {
	Publication string
	Err         error
}

// Error names the publication and the cause.
func (e *NotPublishedError) Error() string {
	return fmt.Sprintf("publication %s was not published: %v", e.Publication, e.Err)
}

// Unwrap returns the cause.
func (e *NotPublishedError) Unwrap() error { return e.Err }

// UnknownOutcomeError reports that a publication may or may not have taken effect.
type UnknownOutcomeError struct {
	Publication string
	Version     config.Version
	Services    []string
	Reason      string
}

// Error names the version, the services, the cause and the remedy.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("publication %s (version %d, services %s) may or may not have been published: %s: publish the same files again; only differences are written", e.Publication, e.Version, strings.Join(e.Services, ", "), e.Reason)
}

// ContentionError reports that concurrent publications changed the head before every
// attempt to write it.
type ContentionError struct {
	Publication string
	Swaps       int
}

// Error names the number of attempts and the remedy.
func (e *ContentionError) Error() string {
	return fmt.Sprintf("publication %s was not published: other publications changed the head first %d times: publish again when they have finished", e.Publication, e.Swaps)
}
