// Package core is the decision core of an entry process: coordinator, holder,
// lease choice and adoption. It performs no I/O and has no clock, goroutine,
// log or unseeded randomness: events and the time go in, actions come out. It
// imports the api, fault, bundle, message, record, queue and placement packages.
package core
