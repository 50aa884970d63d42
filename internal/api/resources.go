// Package api defines the types that the packages and commands of fulmarlatch share:
// resources, jobs, attempts, answers and VMs. Several of them are part of the callers'
// API, of messages or of log records, so their field tags are stable. It has no state
// and imports only the fault package.
package api

import "fmt"

// Resources holds an amount in each of the five dimensions of a worker's capacity.
type Resources struct {
	CPUMilli     int64 `json:"cpu_milli,omitempty" cbor:"1,keyasint,omitempty"`    // thousandths of a CPU
	MemoryMB     int64 `json:"memory_mb,omitempty" cbor:"2,keyasint,omitempty"`    // mebibytes
	Accelerators int64 `json:"accelerators,omitempty" cbor:"3,keyasint,omitempty"` // whole devices
	Slots        int64 `json:"slots,omitempty" cbor:"4,keyasint,omitempty"`        // concurrent tasks
	Connections  int64 `json:"connections,omitempty" cbor:"5,keyasint,omitempty"`  // concurrent connections
}

// Dimension identifies a field of Resources.
type Dimension int

// Dimensions in the order of the fields of Resources.
const (
	CPU Dimension = iota
	Memory
	Accelerator
	Slot
	Connection
	NumDimensions
)

var dimensionNames = [NumDimensions]string{"cpu_milli", "memory_mb", "accelerators", "slots", "connections"}

// String returns the JSON name of the dimension.
func (d Dimension) String() string { return dimensionNames[d] }

// Get returns the amount in dimension d.
func (r Resources) Get(d Dimension) int64 {
	return [NumDimensions]int64{r.CPUMilli, r.MemoryMB, r.Accelerators, r.Slots, r.Connections}[d]
}

// Add returns r plus o.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		CPUMilli:     r.CPUMilli + o.CPUMilli,
		MemoryMB:     r.MemoryMB + o.MemoryMB,
		Accelerators: r.Accelerators + o.Accelerators,
		Slots:        r.Slots + o.Slots,
		Connections:  r.Connections + o.Connections,
	}
}

// Sub returns r minus o; amounts may become negative.
func (r Resources) Sub(o Resources) Resources {
	return r.Add(o.Scale(-1))
}

// Scale returns r with every amount multiplied by n.
func (r Resources) Scale(n int64) Resources {
	return Resources{
		CPUMilli:     r.CPUMilli * n,
		MemoryMB:     r.MemoryMB * n,
		Accelerators: r.Accelerators * n,
		Slots:        r.Slots * n,
		Connections:  r.Connections * n,
	}
}

// Max returns the larger amount of r and o in each dimension.
func (r Resources) Max(o Resources) Resources {
	return Resources{
		CPUMilli:     max(r.CPUMilli, o.CPUMilli),
		MemoryMB:     max(r.MemoryMB, o.MemoryMB),
		Accelerators: max(r.Accelerators, o.Accelerators),
		Slots:        max(r.Slots, o.Slots),
		Connections:  max(r.Connections, o.Connections),
	}
}

// Fits reports whether r does not exceed capacity in any dimension.
func (r Resources) Fits(capacity Resources) bool {
	return r.CPUMilli <= capacity.CPUMilli &&
		r.MemoryMB <= capacity.MemoryMB &&
		r.Accelerators <= capacity.Accelerators &&
		r.Slots <= capacity.Slots &&
		r.Connections <= capacity.Connections
}

// Exceeds returns the first dimension in which r exceeds capacity, and whether there is
// one.
func (r Resources) Exceeds(capacity Resources) (Dimension, bool) {
	for d := CPU; d < NumDimensions; d++ {
		if r.Get(d) > capacity.Get(d) {
			return d, true
		}
	}
	return 0, false
}

// DominantShare returns the largest share of capacity that r takes in any dimension. It
// skips dimensions in which the capacity is 0.
func (r Resources) DominantShare(capacity Resources) float64 {
	largest := 0.0
	for d := CPU; d < NumDimensions; d++ {
		if total := capacity.Get(d); total > 0 {
			largest = max(largest, float64(r.Get(d))/float64(total))
		}
	}
	return largest
}

// Negative returns the first dimension with a negative amount, and whether there is one.
func (r Resources) Negative() (Dimension, bool) {
	return Resources{}.Exceeds(r)
}

// String returns all amounts as name=value pairs.
func (r Resources) String() string {
	return fmt.Sprintf("cpu_milli=%d memory_mb=%d accelerators=%d slots=%d connections=%d",
		r.CPUMilli, r.MemoryMB, r.Accelerators, r.Slots, r.Connections)
}
