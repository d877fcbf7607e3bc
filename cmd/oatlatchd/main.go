package main

import (
	"net"
	"os"

	"github.com/alecthomas/kong"
)

type flags struct {
	Version bool
}

func main() {
	var f flags
	kong.Parse(&f)
	if _, err := net.LookupPort("tcp", "http"); err != nil {
		os.Exit(1)
	}
}
