package config

import "fmt"

// InvalidError says that a stored object is damaged or inconsistent.
type InvalidError struct {
	Object string
	Reason string
}

// Error names the object and the remedy.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("configuration object %s is invalid: %s: publish again from the service files", e.Object, e.Reason)
}

// FormatError says that a stored object is of another program version.
type FormatError struct {
	Format int
}

// Error names the format and the remedy.
func (e *FormatError) Error() string {
	return fmt.Sprintf("configuration has format %d, this program reads format %d: run the program version that published it", e.Format, Format)
}

// DuplicateError says that two services claim the same thing.
type DuplicateError struct {
	// What is for example "address" or "request host".
	What   string
	Value  string
	First  string
	Second string
}

// Error names both services and the remedy.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("%s %s is used by services %q and %q: give one of them another", e.What, e.Value, e.First, e.Second)
}

// MaxObjectBytes is the largest stored object. It leaves room for the framing of a
// message to a peer, which may have 1 MiB like the platform's values.
const MaxObjectBytes = 1<<20 - 32<<10

// TooLargeError says that an object exceeds what the platform holds.
type TooLargeError struct {
	Object string
	Bytes  int
	// Largest is the name of the largest service in the object.
	Largest string
}

// Error names the object and the remedy.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("configuration object %s has %d bytes, more than %d: split service %q, the largest in it", e.Object, e.Bytes, MaxObjectBytes, e.Largest)
}
