package glencartgrpc

import (
	"fmt"
	"math"

	orcapb "github.com/cncf/xds/go/xds/data/orca/v3"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/proto"

	"glencart/balance"
)

// reportTrailer carries an ORCA load report (xds.data.orca.v3.OrcaLoadReport), gRFC A51.
const reportTrailer = "endpoint-load-metrics-bin"

// Names in a report's named_metrics that the standard fields have no place for.
const (
	MetricInflight  = "glencart.inflight"  // calls held, those that wait included
	MetricQueue     = "glencart.queue"     // calls that wait
	MetricInstances = "glencart.instances" // plug-ins and daemons connected to the backend
)

// reported reads the load report in trailers, if there is one. instances is 0 where it is not told.
func reported(md metadata.MD) (l balance.Load, instances int, err error) {
	text := md[reportTrailer]
	if len(text) == 0 {
		return l, 0, nil
	}
	var r orcapb.OrcaLoadReport
	if err := proto.Unmarshal([]byte(text[len(text)-1]), &r); err != nil {
		return l, 0, fmt.Errorf("%s: %w", reportTrailer, err)
	}
	return loadOf(&r)
}

// loadOf takes from a report what the module knows. One figure that is none spoils the whole report.
func loadOf(r *orcapb.OrcaLoadReport) (l balance.Load, instances int, err error) {
	take := func(name string, v float64, into *float64, has balance.LoadField) {
		if math.IsNaN(v) || v < 0 || v >= 1e9 {
			err = fmt.Errorf("load report: %s: %v is not a figure", name, v)
			return
		}
		*into = v
		l.Has |= has
	}
	if v, ok := r.NamedMetrics[MetricInflight]; ok {
		take(MetricInflight, v, &l.Active, balance.HasActive)
	}
	if v, ok := r.NamedMetrics[MetricQueue]; ok {
		take(MetricQueue, v, &l.Waiting, balance.HasWaiting)
	}
	if r.CpuUtilization != 0 {
		take("cpu_utilization", r.CpuUtilization, &l.CPU, balance.HasCPU)
	}
	if r.RpsFractional != 0 {
		take("rps_fractional", r.RpsFractional, &l.RPS, balance.HasRPS)
	}
	if r.Eps != 0 {
		take("eps", r.Eps, &l.ErrRPS, balance.HasErrRPS)
	}
	var n float64
	if v, ok := r.NamedMetrics[MetricInstances]; ok {
		take(MetricInstances, v, &n, 0)
	}
	if err != nil {
		return balance.Load{}, 0, err
	}
	return l, int(n), nil
}
