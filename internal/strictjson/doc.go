// Package strictjson reads JSON documents that people write. It reports every
// unknown field, duplicate key and value of a wrong type at once, each with the
// path of the field and a remedy. It imports the fault package.
package strictjson
