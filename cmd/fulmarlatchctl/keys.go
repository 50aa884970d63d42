package main

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"encoding/hex"
	"encoding/pem"
	"fmt"
	"io"
	"os"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

const (
	pemType       = "PRIVATE KEY"
	keyFileMode   = 0o600
	maxInputBytes = 16 << 20 // of a bundle, key or settings file
)

// keygenCmd implements the keygen command.
type keygenCmd struct {
	Out string `required:"" help:"File for the private key. It must not exist." placeholder:"FILE"`
}

// Run writes a new private key as PKCS #8 PEM and prints the public key in hex.
func (c *keygenCmd) Run(t *tool) error {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return err
	}
	der, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return err
	}
	data := pem.EncodeToMemory(&pem.Block{Type: pemType, Bytes: der})
	if err := writeNew(c.Out, data); err != nil {
		return err
	}
	fmt.Fprintln(t.out, hex.EncodeToString(public))
	return nil
}

// writeNew creates a file that only its owner can read and write. It fails if the
// file exists.
func writeNew(path string, data []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyFileMode)
	if err != nil {
		return fault.Wrap(fault.Invalid, err, "the file cannot be created", "give a path that does not exist in a directory that you can write to")
	}
	_, err = f.Write(data)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fault.Wrap(fault.Invalid, err, "the file cannot be written", "free disk space and remove the incomplete file")
	}
	return nil
}

// readKey reads an Ed25519 private key in PKCS #8 PEM form.
func readKey(path string) (ed25519.PrivateKey, error) {
	data, err := readInput(path)
	if err != nil {
		return nil, err
	}
	const remedy = "give a private key file that fulmarlatchctl keygen wrote"
	block, _ := pem.Decode(data)
	if block == nil || block.Type != pemType {
		return nil, fault.New(fault.Invalid, path+" holds no private key", remedy)
	}
	key, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, path+" holds no private key", remedy)
	}
	private, ok := key.(ed25519.PrivateKey)
	if !ok {
		return nil, fault.New(fault.Invalid, path+" holds a private key that is not Ed25519", remedy)
	}
	return private, nil
}

// readInput reads a file of at most maxInputBytes.
func readInput(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "the file cannot be read", "give the path of a readable file")
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxInputBytes+1))
	if err != nil || len(data) > maxInputBytes {
		return nil, fault.Wrap(fault.Invalid, err, path+" cannot be read or is too large", fmt.Sprintf("give a readable file of at most %d bytes", maxInputBytes))
	}
	return data, nil
}
