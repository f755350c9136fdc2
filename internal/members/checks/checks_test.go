package checks

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"google.golang.org/grpc"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"

	"glencart/check"
	"glencart/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Each kind of check, against backends that are healthy, unhealthy, silent, down or of another protocol. A wrong result would take
// a healthy backend out of the pool, or leave a broken one in it.
func TestEachKindOfCheck(t *testing.T) {
	status := func(code int) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.RequestURI() != "/well?deep=1" || r.Host != "menu.khuree.mn" {
				code = http.StatusTeapot
			}
			if code == 302 {
				w.Header().Set("Location", "http://127.0.0.1:1/") // no server listens there: the redirect is not followed
			}
			w.WriteHeader(code)
			w.Write(make([]byte, 1<<20)) // longer than a check reads
		}))
		t.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
	path := filepath.Join(t.TempDir(), "s")
	listener, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	unix := &httptest.Server{Listener: listener, Config: &http.Server{Handler: http.NotFoundHandler()}}
	unix.Start()
	t.Cleanup(unix.Close)
	silent := standin.NewRaw(t, "127.0.0.1:0", func(c net.Conn, _ *bufio.Reader) { io.Copy(io.Discard, c) }).Listener.Addr().String()
	gone := standin.ReserveAddr(t)
	grpcListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	healthServer := health.NewServer()
	healthServer.SetServingStatus("menu", healthpb.HealthCheckResponse_SERVING)
	healthServer.SetServingStatus("dish", healthpb.HealthCheckResponse_NOT_SERVING)
	grpcServer := grpc.NewServer()
	healthpb.RegisterHealthServer(grpcServer, healthServer)
	go grpcServer.Serve(grpcListener)
	t.Cleanup(grpcServer.Stop)
	grpcAddr := grpcListener.Addr().String()
	httpCheck := Config{Kind: HTTP, Path: "/well?deep=1", Host: "menu.khuree.mn"}
	noContentOnly := httpCheck
	noContentOnly.Status = []int{204}
	plain := Config{Kind: HTTP, Path: "/"}
	notFound := Config{Kind: HTTP, Path: "/", Status: []int{404}}
	health := func(service string) Config { return Config{Kind: GRPC, Service: service} }
	for name, c := range map[string]struct {
		cfg     Config
		addr    string
		wantErr string // part of the error; empty: healthy
	}{
		"http 200": {httpCheck, status(200), ""}, "http 302": {httpCheck, status(302), ""},
		"http 500": {httpCheck, status(500), "500"}, "http 404": {httpCheck, status(404), "404"},
		"accepts 204, gets 204": {noContentOnly, status(204), ""}, "accepts 204, gets 200": {noContentOnly, status(200), "200"},
		"http unix": {notFound, "unix:" + path, ""}, "http unix 404": {plain, "unix:" + path, "404"},
		"http silent": {httpCheck, silent, "deadline"}, "http gone": {httpCheck, gone, "refused"}, "http at a grpc server": {httpCheck, grpcAddr, " "},
		"grpc whole": {health(""), grpcAddr, ""}, "grpc service": {health("menu"), grpcAddr, ""},
		"grpc not serving":     {health("dish"), grpcAddr, "NOT_SERVING"},
		"grpc unknown service": {health("tea"), grpcAddr, "unknown service"}, "grpc gone": {health(""), gone, "refused"},
		"grpc silent": {health(""), silent, "DeadlineExceeded"},
		"tcp":         {Config{}, silent, ""}, "tcp gone": {Config{}, gone, "refused"}, "tcp unix": {Config{}, "unix:" + path, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.cfg.Timeout = 300 * time.Millisecond
			if c.wantErr == "" {
				c.cfg.Timeout = standin.Patience
			}
			err := New(c.cfg).probe(context.Background(), c.addr)
			if c.wantErr == "" && err != nil || c.wantErr != "" && (err == nil || !strings.Contains(err.Error(), c.wantErr)) {
				t.Errorf("%v, want %q", err, c.wantErr)
			}
		})
	}
}

// A backend that stops answering must be reported once, and so must its recovery. A removed backend must not be checked any more.
func TestChangesAreReportedOnce(t *testing.T) {
	l, err := net.Listen("tcp", "127.7.7.7:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	c := New(Config{Config: check.Config{Every: check.MinEvery, Rise: 1, Fall: 2}})
	ctx, cancel := context.WithCancel(context.Background())
	verdicts, ended := make(chan check.Verdict, 8), make(chan struct{})
	go func() { c.Run(ctx, func(v check.Verdict) { verdicts <- v }); close(ended) }()
	c.Set("a", addr)
	l.Close()
	if v := standin.Receive(t, "down", verdicts); v.Up || v.Backend != "a" || v.Addr != addr || v.Cause == "" {
		t.Errorf("%+v", v)
	}
	if l, err = net.Listen("tcp", addr); err != nil {
		t.Fatal(err) // no other process uses this address
	}
	if v := standin.Receive(t, "up", verdicts); !v.Up {
		t.Errorf("%+v", v)
	}
	c.Remove("a")
	l.Close()
	c.Set("b", addr)
	if v := standin.Receive(t, "the other backend", verdicts); v.Up || v.Backend != "b" {
		t.Errorf("%+v", v)
	}
	cancel()
	standin.Receive(t, "the end", ended)
}
