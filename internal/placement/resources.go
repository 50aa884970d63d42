package placement

import "github.com/fulmarlatch/fulmarlatch/internal/api"

// vector returns the amounts of r in the order of the dimensions.
func vector(r api.Resources) [api.NumDimensions]int64 {
	return [api.NumDimensions]int64{r.CPUMilli, r.MemoryMB, r.Accelerators, r.Slots, r.Connections}
}

// resources is the inverse of vector.
func resources(v [api.NumDimensions]int64) api.Resources {
	return api.Resources{CPUMilli: v[0], MemoryMB: v[1], Accelerators: v[2], Slots: v[3], Connections: v[4]}
}

// smaller returns the smaller amount in each dimension.
func smaller(a, b api.Resources) api.Resources {
	return api.Resources{
		CPUMilli:     min(a.CPUMilli, b.CPUMilli),
		MemoryMB:     min(a.MemoryMB, b.MemoryMB),
		Accelerators: min(a.Accelerators, b.Accelerators),
		Slots:        min(a.Slots, b.Slots),
		Connections:  min(a.Connections, b.Connections),
	}
}

// positive returns r with negative amounts set to zero.
func positive(r api.Resources) api.Resources { return r.Max(api.Resources{}) }

// share returns r multiplied by part, between 0 and 1, rounded down. The
// small addend keeps a product such as 0.1*30 from being rounded to 2.
func share(r api.Resources, part float64) api.Resources {
	v := vector(r)
	for d := range v {
		v[d] = int64(float64(v[d])*part + 1e-9)
	}
	return resources(v)
}
