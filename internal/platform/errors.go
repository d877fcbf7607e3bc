package platform

import "fmt"

// UnavailableError says that a call failed without any effect on the store.
type UnavailableError struct {
	Call string
	Key  string
	Err  error
}

// Error names the call and the remedy.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform %s %q failed without effect: %v: check that the platform is up and reachable, then repeat", e.Call, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// AmbiguousError says that the answer to a write was lost: the write may have taken effect.
type AmbiguousError struct {
	Call string
	Key  string
	Err  error
}

// Error names the call and the remedy.
func (e *AmbiguousError) Error() string {
	return fmt.Sprintf("platform %s %q has an unknown outcome: %v: read the key again before any other write", e.Call, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *AmbiguousError) Unwrap() error { return e.Err }

// TooLargeError says that a value exceeds what the platform holds.
type TooLargeError struct {
	Key   string
	Bytes int
}

// Error names the size and the remedy.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("value of %q has %d bytes, more than the platform's %d: split the largest service into smaller ones", e.Key, e.Bytes, MaxValueBytes)
}

// SettingsError says that an option of the adapter is unusable.
type SettingsError struct {
	Option string
	Reason string
}

// Error names the option and what to set.
func (e *SettingsError) Error() string {
	return fmt.Sprintf("platform setting %s: %s", e.Option, e.Reason)
}
