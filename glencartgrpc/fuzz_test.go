package glencartgrpc

import (
	"math"
	"testing"

	orcapb "github.com/cncf/xds/go/xds/data/orca/v3"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/proto"
)

// What a trailer says of the load is a figure, or nothing.
func FuzzReport(f *testing.F) {
	good, _ := proto.Marshal(&orcapb.OrcaLoadReport{CpuUtilization: .5, RpsFractional: 7,
		NamedMetrics: map[string]float64{MetricInflight: 3, MetricQueue: 1, MetricInstances: 9}})
	bad, _ := proto.Marshal(&orcapb.OrcaLoadReport{NamedMetrics: map[string]float64{MetricInflight: math.NaN(), MetricInstances: -1}})
	f.Add(good)
	f.Add(bad)
	f.Add([]byte("\xff\xff"))
	f.Fuzz(func(t *testing.T, b []byte) {
		l, n, err := reported(metadata.MD{reportTrailer: {string(b)}})
		if err != nil && (l.Has != 0 || n != 0) {
			t.Errorf("%+v, %d with %v", l, n, err)
		}
		for _, v := range []float64{l.Active, l.Waiting, l.CPU, l.RPS, l.ErrRPS, float64(n)} {
			if math.IsNaN(v) || v < 0 || v >= 1e9 {
				t.Errorf("%+v, %d", l, n)
			}
		}
	})
}

// A spoilt figure spoils its report, and nothing else does.
func TestReports(t *testing.T) {
	for name, tc := range map[string]struct {
		r         *orcapb.OrcaLoadReport
		ok        bool
		active    float64
		instances int
	}{
		"whole":         {&orcapb.OrcaLoadReport{NamedMetrics: map[string]float64{MetricInflight: 3, MetricInstances: 9}}, true, 3, 9},
		"empty":         {&orcapb.OrcaLoadReport{}, true, 0, 0},
		"other names":   {&orcapb.OrcaLoadReport{NamedMetrics: map[string]float64{"x": -1}}, true, 0, 0},
		"not a number":  {&orcapb.OrcaLoadReport{NamedMetrics: map[string]float64{MetricInflight: math.NaN()}}, false, 0, 0},
		"negative":      {&orcapb.OrcaLoadReport{NamedMetrics: map[string]float64{MetricInflight: 3, MetricInstances: -2}}, false, 0, 0},
		"beyond belief": {&orcapb.OrcaLoadReport{CpuUtilization: 1e300}, false, 0, 0},
	} {
		b, _ := proto.Marshal(tc.r)
		l, n, err := reported(metadata.MD{reportTrailer: {string(b)}})
		if (err == nil) != tc.ok || l.Active != tc.active || n != tc.instances {
			t.Errorf("%s: %+v, %d, %v", name, l, n, err)
		}
	}
}
