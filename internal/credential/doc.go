// Package credential compares the keys of callers without holding them: a key is kept as its
// SHA-256 digest. Packages node, caller and platform use it. It imports the fault package. A
// Keyring is safe for concurrent use once all of its keys have been added.
package credential
