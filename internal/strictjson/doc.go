// Package strictjson decodes JSON files that people write or pass on: bundles,
// settings, signed rolls, and load experiments and their results. It reports all
// unknown fields, duplicate keys and values of a wrong type at once, each with the
// path of the field and a remedy. It keeps no state between calls and imports the
// fault package.
package strictjson
