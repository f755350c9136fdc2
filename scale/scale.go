// Package scale measures how memory and time of the node and of serve grow with the size of an installation. It contains only the
// measurement. Its tests are the command to run: docs/CAPACITY.md describes how, and lists the results.
package scale

import (
	"fmt"
	"math"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// Series is one quantity measured at several sizes.
type Series struct {
	Name     string    `json:"name"`
	Unit     string    `json:"unit"`
	SizeName string    `json:"of"` // what the sizes count
	Sizes    []float64 `json:"sizes"`
	Values   []float64 `json:"values"`
	// Exponent is the slope in the log-log plot: 1 is linear growth. R2 is the coefficient of determination (r squared).
	Exponent float64 `json:"exponent"`
	R2       float64 `json:"r2"`
}

// Add appends a measurement.
func (s *Series) Add(size, value float64) {
	s.Sizes = append(s.Sizes, size)
	s.Values = append(s.Values, value)
}

// ComputeFit computes Exponent and R2.
func (s *Series) ComputeFit() {
	x, y := make([]float64, len(s.Sizes)), make([]float64, len(s.Values))
	for i := range x {
		x[i], y[i] = math.Log(s.Sizes[i]), math.Log(math.Max(s.Values[i], math.SmallestNonzeroFloat64))
	}
	alpha, beta := stat.LinearRegression(x, y, nil, false)
	s.Exponent, s.R2 = beta, stat.RSquared(x, y, nil, alpha, beta)
	if math.IsNaN(s.R2) { // all values are equal
		s.R2 = 1
	}
}

// Predict returns the value that the fit predicts for a size.
func (s *Series) Predict(size float64) float64 {
	last := len(s.Sizes) - 1
	return s.Values[last] * math.Pow(size/s.Sizes[last], s.Exponent)
}

// String returns all measurements and the fit on one line.
func (s *Series) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s (%s) by %s:", s.Name, s.Unit, s.SizeName)
	for i := range s.Sizes {
		fmt.Fprintf(&b, " %.0f: %.4g;", s.Sizes[i], s.Values[i])
	}
	fmt.Fprintf(&b, " exponent %.2f, r2 %.3f", s.Exponent, s.R2)
	return b.String()
}

// Installation gives the sizes of a generated installation.
type Installation struct {
	Pools, BackendsPerPool, RoutesPerPool, Tenants int
}

// Text returns a configuration file of serve for the installation.
func (n Installation) Text() []byte {
	var b strings.Builder
	b.WriteString("[node]\nname = \"n\"\ntenant = \"X-Tenant\"\n\n[[listener]]\nname = \"web\"\naddress = \":8080\"\n")
	backend := 0
	for i := range n.Pools {
		fmt.Fprintf(&b, "\n[[pool]]\nname = \"service-%d\"\nboxes = [", i)
		for range n.BackendsPerPool {
			backend++
			fmt.Fprintf(&b, "{ address = \"10.%d.%d.%d:80\" }, ", backend>>16, backend>>8&255, backend&255)
		}
		b.WriteString("]\n")
	}
	for i := range n.Tenants {
		fmt.Fprintf(&b, "\n[[tenant]]\nname = \"tenant-%d\"\nquota = 5.0\n", i)
	}
	for i := range n.Pools {
		fmt.Fprintf(&b, "\n[[server]]\nnames = [\"service-%d.example\"]\n", i)
		for j := range n.RoutesPerPool {
			fmt.Fprintf(&b, "[[server.location]]\npath = \"/r%d/\"\n[[server.location.route]]\npool = \"service-%d\"\n", j, i)
		}
	}
	return []byte(b.String())
}
