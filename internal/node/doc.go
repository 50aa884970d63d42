// Package node assembles one entry process; command fulmarlatchd runs it. The
// control goroutine owns the scheduling core and the chain of rolls, the signed
// releases of the operators' bundle. Drivers in other goroutines connect it to
// workers, peers, the log, the VM list, callers and operators: they execute the
// actions of the core and post events to the control goroutine.
//
// Package node may import every internal package except standin.
package node
