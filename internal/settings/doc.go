// Package settings loads the settings file of an entry process of fulmarlatchd, in
// JSON, and reports all problems at once, each with the path of the field and a remedy.
// Package node, fulmarlatchd and fulmarlatchctl use it; settings do not change after
// they are loaded. Here a cell is a deployment of fulmarlatchd with all its workers.
// It imports the fault and strictjson packages.
package settings
