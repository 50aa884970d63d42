// Package credential compares the keys of callers without holding them: a key is kept as its
// SHA-256 digest. Packages node and platform look up the workspace of a caller with it. It has
// no dependencies within the project. A Keyring is immutable, so it is safe for concurrent use.
package credential
