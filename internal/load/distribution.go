package load

import (
	"math"
	"math/rand/v2"

	"github.com/fulmarlatch/fulmarlatch/internal/strictjson"
)

// Distribution describes a random amount in the unit of the field that has it. Only
// the fields of its kind are set.
type Distribution struct {
	// Kind is constant (Value), uniform (Min to Max) or lognormal (Median, and Sigma,
	// the standard deviation of the logarithm; amounts above Max are cut to Max).
	Kind   string  `json:"kind"`
	Value  float64 `json:"value,omitempty"`
	Min    float64 `json:"min,omitempty"`
	Max    float64 `json:"max,omitempty"`
	Median float64 `json:"median,omitempty"`
	Sigma  float64 `json:"sigma,omitempty"`
}

// Kinds of distributions.
const (
	Constant  = "constant"
	Uniform   = "uniform"
	Lognormal = "lognormal"
)

// Draw returns a random amount, rounded to a whole number.
func (d Distribution) Draw(r *rand.Rand) int64 {
	switch d.Kind {
	case Uniform:
		return int64(math.Round(d.Min + (d.Max-d.Min)*r.Float64()))
	case Lognormal:
		return int64(math.Round(min(d.Max, d.Median*math.Exp(d.Sigma*r.NormFloat64()))))
	default:
		return int64(math.Round(d.Value))
	}
}

// problems reports amounts outside 0 to highest and fields that belong to another
// kind.
func (d Distribution) problems(p *strictjson.Problems, path string, highest float64) {
	used := Distribution{Kind: d.Kind}
	switch d.Kind {
	case Constant:
		used.Value = d.Value
	case Uniform:
		used.Min, used.Max = d.Min, d.Max
	case Lognormal:
		used.Median, used.Sigma, used.Max = d.Median, d.Sigma, d.Max
		checkNumber(p, path+".median", d.Median, math.SmallestNonzeroFloat64, d.Max)
		checkNumber(p, path+".sigma", d.Sigma, 0, maxSigma)
	default:
		p.Add(path+".kind", "is "+d.Kind, "use constant, uniform or lognormal")
		return
	}
	if d != used {
		p.Add(path, "has fields of another kind of distribution", "use value; min and max; or median, sigma and max")
	}
	checkNumber(p, path+".value", d.Value, 0, highest)
	checkNumber(p, path+".min", d.Min, 0, highest)
	checkNumber(p, path+".max", d.Max, d.Min, highest)
}

// Draw returns a random factor from the range, uniform on a logarithmic scale.
func (r Range) Draw(random *rand.Rand) float64 {
	if r.Min == r.Max {
		return r.Min
	}
	low, high := math.Log(r.Min), math.Log(r.Max)
	return math.Exp(low + (high-low)*random.Float64())
}
