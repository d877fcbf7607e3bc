package config

import "fmt"

// InvalidError reports that a stored object is corrupt or inconsistent.
type InvalidError struct {
	// Object is the key of the object in the platform's store, or "head".
	Object string
	Reason string
}

// Error describes the object, the fault and the remedy.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("configuration object %s is invalid: %s: publish again from the service files", e.Object, e.Reason)
}

// FormatError reports that a stored object has a format that this program does not read.
type FormatError struct {
	Format int
}

// Error describes both formats and the remedy.
func (e *FormatError) Error() string {
	return fmt.Sprintf("configuration has format %d, this program reads format %d: run the program version that published it", e.Format, FormatVersion)
}

// DuplicateError reports that two services use the same name, address, request host or upstream
// address.
type DuplicateError struct {
	// Kind says what is duplicated, such as "address" or "request host".
	Kind  string
	Value string
	// First and Second are the names of the services.
	First  string
	Second string
}

// Error describes the duplicate, both services and the remedy.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("%s %s is used by services %q and %q: give one of them another", e.Kind, e.Value, e.First, e.Second)
}

// MaxObjectBytes is the maximum size of a stored object. Values of the platform and messages to
// peers are limited to 1 MiB; the difference of 32 KiB is room for the framing of a message.
const MaxObjectBytes = 1<<20 - 32<<10

// TooLargeError reports that an object exceeds MaxObjectBytes.
type TooLargeError struct {
	Object string
	Bytes  int
	// LargestService is the name of the service that takes the most space in the object.
	LargestService string
}

// Error describes the object, its size and the remedy.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("configuration object %s has %d bytes, more than %d: split service %q, the largest in it", e.Object, e.Bytes, MaxObjectBytes, e.LargestService)
}
