// Package settings reads the settings of an entry process from a JSON file. It
// reports every problem at once, each with the path of the field and a remedy.
// It imports the fault and strictjson packages.
package settings
