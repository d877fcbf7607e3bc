package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/peer"
	"github.com/oatlatch/oatlatch/internal/standin/authority"
)

// Permissions of the key directory and the key files.
const (
	keyDirMode  = 0o700
	keyFileMode = 0o600
)

// standinKeysCommand writes TLS keys for testing, signed by a new certificate
// authority. The private key of the authority is not stored, so that it can't sign
// further certificates.
type standinKeysCommand struct {
	Validity time.Duration `default:"24h" help:"How long the keys are valid."`
	Dir      string        `arg:"" help:"Directory for the files; it is made if it does not exist."`
	Holders  []string      `arg:"" name:"holder" help:"Who gets keys: HOST@DATA-CENTRE, or NAME@operators for an operator."`
}

// Run writes ca.pem and, for each holder, NAME.pem and NAME.key.
func (c *standinKeysCommand) Run() error {
	identities, err := parseHolders(c.Holders)
	if err != nil {
		return err
	}
	signer, err := authority.New()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Dir, keyDirMode); err != nil {
		return fmt.Errorf("cannot create the directory, choose one in a writable directory: %w", err)
	}
	for _, identity := range identities {
		keys, err := signer.Issue(identity.URI(), c.Validity)
		if err != nil {
			return err
		}
		if err := c.write(string(identity.Host), keys); err != nil {
			return err
		}
		fmt.Printf("%s: %s\n", identity.URI(), filepath.Join(c.Dir, string(identity.Host)+".pem"))
	}
	return nil
}

// write writes the certificate of the authority and the keys of one holder.
func (c *standinKeysCommand) write(name string, keys authority.KeyPair) error {
	files := []struct{ name, text string }{
		{"ca.pem", keys.CA}, {name + ".pem", keys.Certificate}, {name + ".key", keys.Key},
	}
	for _, file := range files {
		if err := os.WriteFile(filepath.Join(c.Dir, file.name), []byte(file.text), keyFileMode); err != nil {
			return fmt.Errorf("cannot write the keys, choose a writable directory: %w", err)
		}
	}
	return nil
}

// parseHolders parses identities of the form HOST@DATA-CENTRE, or NAME@operators for
// operators.
func parseHolders(holders []string) ([]peer.Identity, error) {
	var identities []peer.Identity
	for _, holder := range holders {
		name, dataCentre, found := strings.Cut(holder, "@")
		if !found || name == "" || dataCentre == "" || strings.ContainsAny(name, `/\`) {
			return nil, fmt.Errorf("invalid holder %q, must have the form HOST@DATA-CENTRE, such as casa-quay-1@casa-quay", holder)
		}
		identities = append(identities, peer.Identity{Host: host.ID(name), DataCentre: dataCentre})
	}
	return identities, nil
}
