package node

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"glencart/balance"
	"glencart/internal/engine"
	"glencart/internal/sock"
	"glencart/members"
)

const (
	// maxWaitingAdminConns bounds the connections of operators whose request has not fully arrived. Beyond it
	// the oldest silent one is closed, and beyond maxAdminConns the oldest of all. They are part of reservedSockets.
	maxWaitingAdminConns, maxAdminConns = 6, 10
	// adminFirstByteGrace is how long a caller may take for its first byte before it counts as silent.
	adminFirstByteGrace = 20 * time.Millisecond
	// adminTimeout is how long a request may take to arrive, and its answer to be read. A request is answered
	// after adminAnswerTimeout even if the loop has not handled it, because operators must get an answer within
	// 1 s.
	adminTimeout, adminAnswerTimeout = 5 * time.Second, 700 * time.Millisecond
	// maxIDBytes bounds the length of a backend id in a request.
	maxIDBytes = 256
)

// adminEndpoint is the management endpoint. It has its own listener and serves one request per connection.
type adminEndpoint struct {
	node *Node
	srv  *http.Server

	mu             sync.Mutex
	conns          map[net.Conn]time.Time // connections whose request has not fully arrived
	activeRequests atomic.Int32           // requests that are being answered
	waitingConns   int
}

func newAdminEndpoint(n *Node) *adminEndpoint {
	d := &adminEndpoint{node: n, conns: map[net.Conn]time.Time{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !n.canServe() {
			writeText(w, http.StatusServiceUnavailable, "not ready\n")
			return
		}
		writeText(w, http.StatusOK, "ready\n")
	})
	mux.HandleFunc("GET /control/counters", func(w http.ResponseWriter, _ *http.Request) {
		writeText(w, http.StatusOK, string(n.counters.format(n.front.inFlight.Load())))
	})
	mux.HandleFunc("POST /control/backends/{id}/offline", func(w http.ResponseWriter, r *http.Request) { d.setOffline(w, r, true) })
	mux.HandleFunc("POST /control/backends/{id}/online", func(w http.ResponseWriter, r *http.Request) { d.setOffline(w, r, false) })
	d.srv = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			d.requestArrived(adminConn(r.Context()))
			w.Header().Set("Connection", "close")
			defer d.activeRequests.Add(-1)
			if d.activeRequests.Add(1) > maxAdminConns {
				writeText(w, http.StatusServiceUnavailable, "too many calls at once\n")
				return
			}
			mux.ServeHTTP(w, r)
		}),
		ReadTimeout: adminTimeout, WriteTimeout: adminTimeout, MaxHeaderBytes: 4 << 10,
		ErrorLog:  slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
		ConnState: d.track,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, adminKey{}, c)
		},
	}
	return d
}

type adminKey struct{}

func adminConn(ctx context.Context) net.Conn {
	c, _ := ctx.Value(adminKey{}).(net.Conn)
	return c
}

// track closes the oldest silent connection if there are too many without a whole request.
func (d *adminEndpoint) track(c net.Conn, s http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch s {
	case http.StateNew:
		d.conns[c] = time.Now()
		d.waitingConns++
		for d.waitingConns > maxWaitingAdminConns {
			victim := d.connToClose(c)
			if victim == nil {
				return
			}
			delete(d.conns, victim)
			d.waitingConns--
			victim.Close()
		}
	case http.StateClosed, http.StateHijacked:
		if _, waits := d.conns[c]; waits {
			delete(d.conns, c)
			d.waitingConns--
		}
	}
}

// connToClose returns the oldest connection, other than except, that has no unread bytes. Beyond maxAdminConns it
// returns the oldest of all. A request that arrived together with many silent connections may be unread when
// the last of them is accepted.
func (d *adminEndpoint) connToClose(except net.Conn) net.Conn {
	var quiet, oldest net.Conn
	for c, at := range d.conns {
		if c == except {
			continue
		}
		if oldest == nil || at.Before(d.conns[oldest]) {
			oldest = c
		}
		if n, _ := sock.Peek(c); n <= 0 && time.Since(at) > adminFirstByteGrace && (quiet == nil || at.Before(d.conns[quiet])) {
			quiet = c
		}
	}
	if quiet == nil && d.waitingConns > maxAdminConns {
		return oldest
	}
	return quiet
}

// requestArrived marks a connection whose request has arrived. It is closed after its answer.
func (d *adminEndpoint) requestArrived(c net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, waits := d.conns[c]; waits {
		delete(d.conns, c)
		d.waitingConns--
	}
}

// setOffline takes a backend offline or back online. It answers with success once the Balancer has the change.
func (d *adminEndpoint) setOffline(w http.ResponseWriter, r *http.Request, offline bool) {
	id := r.PathValue("id")
	if len(id) > maxIDBytes {
		writeText(w, http.StatusBadRequest, "backend: the id is too long\n")
		return
	}
	n := d.node
	var before []members.Override // an online call at this process may follow an offline call at the other
	if n.handover != nil {
		before = n.handover.Calls()
	}
	done := make(chan bool, 1)
	if !n.loop.PostFirst(func() {
		n.applyLines(n.tracker.MergeOverrides(before, n.loop.Clock()))
		call, known := n.setOffline(id, offline)
		if n.handover == nil || call.ChangedAt == 0 {
			done <- known
			return
		}
		go func() { // file operations may be slow or fail
			ctx, cancel := context.WithTimeout(r.Context(), adminAnswerTimeout)
			defer cancel()
			if n.handover.Persist(ctx, []members.Override{call}) == nil {
				done <- known
			}
		}()
	}) {
		writeText(w, http.StatusServiceUnavailable, "the node is ending\n")
		return
	}
	timeout := time.NewTimer(adminAnswerTimeout)
	defer timeout.Stop()
	select {
	case known := <-done:
		if !known {
			writeText(w, http.StatusNotFound, "backend: discovery has named none with this id\n")
			return
		}
		writeText(w, http.StatusOK, "ok\n")
	case <-timeout.C:
		writeText(w, http.StatusGatewayTimeout, "the node is busy, or can't write the call down: it still counts as soon as it gets to it\n")
	}
}

// writeText writes a short answer.
func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	w.Write([]byte(text))
}

// takeList merges a list with the operators' offline calls and passes it to the engine. It runs on the loop, or
// before the loop runs.
func (n *Node) takeList(kind balance.EventKind, list engine.List) {
	now := n.loop.Clock()
	list.Members = n.tracker.ApplyList(list.Members, list.Complete, now)
	if kind != balance.MembersCached {
		n.tracker.ListComplete(now)
	}
	n.loop.UpdateBackends(kind, list)
	n.countBackends()
}

// observeResult records how an attempt or a probe ended. It runs on the loop.
func (n *Node) observeResult(id string, res engine.Result) {
	switch {
	case res.Refused:
		n.tracker.Refused(id, n.loop.Clock())
	case n.tracker.RefusedCount() == 0: // the usual case
	case res.Status == balance.Delivered, res.Status == balance.AppError, res.Status == balance.Shed:
		if lines := n.tracker.Answered(id, n.loop.Clock()); len(lines) > 0 {
			n.log.Info("backend answers after a refused connection: treated as a new process", "id", id)
			n.loop.Post(func() { n.applyLines(lines) }) // after the current event
		}
	}
}

// setOffline applies an operator's call and reports whether the backend id is known. It runs on the loop.
func (n *Node) setOffline(id string, offline bool) (members.Override, bool) {
	lines, call, known := n.tracker.SetOutOfService(id, offline, n.loop.Clock())
	if len(lines) > 0 {
		action := "brought back online"
		if offline {
			action = "taken offline"
		}
		n.log.Info("backend "+action+" by an operator", "id", id)
	}
	n.applyLines(lines)
	return call, known
}

// applyLines passes lines that an operator's call has changed to the engine. It runs on the loop.
func (n *Node) applyLines(lines []members.Endpoint) {
	if len(lines) > 0 {
		n.loop.UpdateBackends(balance.MembersChanged, engine.List{Members: lines})
	}
	n.countBackends()
}

// countBackends copies the numbers of backends that the loop owns. It runs on the loop.
func (n *Node) countBackends() {
	listed, offline := n.tracker.Counts()
	n.counters.knownBackends.Store(int64(listed))
	n.counters.excludedBackends.Store(int64(offline + n.loop.Balancer.AvoidedBackends()))
}

// countBackendsPeriodically calls countBackends at intervals until ctx ends, because each answer may change
// which backends the loop avoids.
func (n *Node) countBackendsPeriodically(ctx context.Context) {
	every(ctx, countersInterval, func() { n.loop.PostFirst(n.countBackends) })
}

// canServe reports whether this process can serve. It needs a list with a backend that can receive requests,
// and must not be shutting down.
func (n *Node) canServe() bool {
	if n.loop.HasReadyBackend() {
		n.hadUsableBackend.Store(true)
	}
	return n.hadUsableBackend.Load() && n.isServing.Load() && !n.front.isLeaving.Load()
}
