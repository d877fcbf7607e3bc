// Package formats has the tests of what hosts of several builds read of each other. Its testdata
// holds the bytes that released builds write; docs/design/formats.md has the rule of each format.
package formats
