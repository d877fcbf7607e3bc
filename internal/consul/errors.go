package consul

import "fmt"

// UnavailableError reports that a call failed and changed nothing in the store.
type UnavailableError struct {
	Call string
	Key  string
	Err  error
}

// Error describes the call, the cause and the remedy.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform call %s for %q failed and changed nothing: %v: check that the platform is running and reachable, then retry", e.Call, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// AmbiguousError reports that a write may or may not have taken effect, because its
// response was lost or reports neither success nor a certain failure.
type AmbiguousError struct {
	Call string
	Key  string
	Err  error
}

// Error describes the call, the cause and the remedy.
func (e *AmbiguousError) Error() string {
	return fmt.Sprintf("platform call %s for %q may or may not have taken effect: %v: read the key again before any other write", e.Call, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *AmbiguousError) Unwrap() error { return e.Err }

// TooLargeError reports that a value exceeds MaxValueBytes.
type TooLargeError struct {
	Key   string
	Bytes int
}

// Error describes the key, its size and the remedy.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("value of key %q has %d bytes, but the platform stores at most %d: split the largest service into smaller ones", e.Key, e.Bytes, MaxValueBytes)
}

// SettingsError reports an invalid value in Options.
type SettingsError struct {
	Option string
	Reason string
}

// Error describes the option and the remedy.
func (e *SettingsError) Error() string {
	return fmt.Sprintf("platform setting %s: %s", e.Option, e.Reason)
}
