// Package standin holds small stand-ins for the platform, with faults set over
// an admin endpoint: the log service, workers and the VM list. They keep all
// state in memory. It imports the api and fault packages and the wire types of
// the upstream, platformlog and vmlist packages.
package standin
