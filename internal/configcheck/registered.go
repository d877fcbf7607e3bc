package configcheck

import (
	"bufio"
	"fmt"
	"io"
	"strings"
)

// ReadRegistered reads a list with the service of one registered upstream on each line.
// Empty lines and those that begin with # are skipped.
func ReadRegistered(r io.Reader) (map[string]Registered, error) {
	registered := make(map[string]Registered)
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		fields := strings.Fields(lines.Text())
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if len(fields) > 1 {
			return nil, fmt.Errorf("line %d has %d words: write the name of one service on each line", n, len(fields))
		}
		of := registered[fields[0]]
		of.Ready++
		registered[fields[0]] = of
	}
	return registered, lines.Err()
}
