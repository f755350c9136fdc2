package glencartgrpc

import (
	"context"
	"time"

	orcapb "github.com/cncf/xds/go/xds/data/orca/v3"
	orcasvc "github.com/cncf/xds/go/xds/service/orca/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"glencart/balance"
	"glencart/internal/engine"
)

const (
	// probeWithin is how long a probe may take: an answer that comes later tells of the past.
	probeWithin = 150 * time.Millisecond
	// muteFor is how long a backend without that service is not asked again.
	muteFor = time.Minute
	// probeMethod streams load reports out of band (xds.service.orca.v3, gRFC A51); the first one comes at once.
	probeMethod = "/xds.service.orca.v3.OpenRcaService/StreamCoreMetrics"
)

var probeDesc = &grpc.StreamDesc{StreamName: "StreamCoreMetrics", ServerStreams: true}

// Probe asks a backend for its load: the first message of its stream of reports. A service without that still works, on
// this plug-in's own counts and on what trailers say.
func (p *Plugin) Probe(to engine.Endpoint, told func(engine.Result)) {
	cc := p.conn.Load()
	until, muted := p.mute.Load(to)
	muted = muted && time.Now().Before(until.(time.Time))
	go func() {
		if cc == nil || muted {
			told(engine.Result{Status: balance.Unused})
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), probeWithin)
		defer cancel()
		t := &try{to: to, Context: ctx, cancel: cancel}
		load, instances, err := ask(t, cc)
		if err != nil {
			st := balance.Shed
			if status.Code(err) == codes.Unimplemented {
				p.mute.Store(to, time.Now().Add(muteFor))
				st = balance.Unused // says nothing of its load
			} else if ctx.Err() != nil {
				st = balance.Expired
			} else if t.has(sawNoConn) {
				st = balance.DialFailed
			}
			told(engine.Result{Status: st})
			return
		}
		p.trust.counted(instances)
		told(engine.Result{Status: balance.Delivered, Load: load})
	}()
}

func ask(ctx context.Context, cc *grpc.ClientConn) (l balance.Load, instances int, err error) {
	s, err := cc.NewStream(ctx, probeDesc, probeMethod)
	if err != nil {
		return l, 0, err
	}
	if err := s.SendMsg(&orcasvc.OrcaLoadReportRequest{ReportInterval: durationpb.New(time.Hour)}); err != nil {
		return l, 0, err
	}
	if err := s.CloseSend(); err != nil {
		return l, 0, err
	}
	var r orcapb.OrcaLoadReport
	if err := s.RecvMsg(&r); err != nil {
		return l, 0, err
	}
	return loadOf(&r)
}
