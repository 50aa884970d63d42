// Package node runs one entry process: the control goroutine, which owns the
// decision core and the chain of rolls, and the drivers that carry out the core's
// actions towards workers, peers, the log, the VM list, callers and operators. It
// may import all other internal packages except standin.
package node
