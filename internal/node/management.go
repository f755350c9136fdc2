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
	// adminMost bounds the connections of operators whose call is not whole: beyond it the oldest silent one gives way, and
	// beyond adminLast the oldest. They stand in what otherSockets keeps aside.
	adminMost, adminLast = 6, 10
	// adminFresh is how long a caller has for the first byte before it counts as silent.
	adminFresh = 20 * time.Millisecond
	// adminWithin is how long a call may take to come, and its answer to be read. A call is answered after adminWaits even
	// where the loop has not got to it: operators are owed an answer within 1 s.
	adminWithin, adminWaits = 5 * time.Second, 700 * time.Millisecond
	// idMost bounds a backend's id in a call.
	idMost = 256
)

// adminEndpoint is where operators call: a listener of its own, one call to a connection.
type adminEndpoint struct {
	node *Node
	srv  *http.Server

	mu    sync.Mutex
	conns map[net.Conn]time.Time // those whose call is not whole
	calls atomic.Int32           // whole ones that are being answered
	open  int
}

func newAdminEndpoint(n *Node) *adminEndpoint {
	d := &adminEndpoint{node: n, conns: map[net.Conn]time.Time{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !n.canServe() {
			reply1(w, http.StatusServiceUnavailable, "not ready\n")
			return
		}
		reply1(w, http.StatusOK, "ready\n")
	})
	mux.HandleFunc("GET /control/counters", func(w http.ResponseWriter, _ *http.Request) {
		reply1(w, http.StatusOK, string(n.figures.text(n.front.inFlight.Load())))
	})
	mux.HandleFunc("POST /control/backends/{id}/offline", func(w http.ResponseWriter, r *http.Request) { d.byHand(w, r, true) })
	mux.HandleFunc("POST /control/backends/{id}/online", func(w http.ResponseWriter, r *http.Request) { d.byHand(w, r, false) })
	d.srv = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			d.whole(adminConn(r.Context()))
			w.Header().Set("Connection", "close")
			defer d.calls.Add(-1)
			if d.calls.Add(1) > adminLast {
				reply1(w, http.StatusServiceUnavailable, "too many calls at once\n")
				return
			}
			mux.ServeHTTP(w, r)
		}),
		ReadTimeout: adminWithin, WriteTimeout: adminWithin, MaxHeaderBytes: 4 << 10,
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

// track has the oldest connection without a whole call give way where they are too many.
func (d *adminEndpoint) track(c net.Conn, s http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch s {
	case http.StateNew:
		d.conns[c] = time.Now()
		d.open++
		for d.open > adminMost {
			out := d.silent(c)
			if out == nil {
				return
			}
			delete(d.conns, out)
			d.open--
			out.Close()
		}
	case http.StateClosed, http.StateHijacked:
		if _, waits := d.conns[c]; waits {
			delete(d.conns, c)
			d.open--
		}
	}
}

// silent returns the oldest connection but for one on which nothing stands unread, and beyond adminLast the oldest of all. A
// call that came together with many silent callers has not been looked at when the last of them is let in.
func (d *adminEndpoint) silent(but net.Conn) net.Conn {
	var quiet, oldest net.Conn
	for c, at := range d.conns {
		if c == but {
			continue
		}
		if oldest == nil || at.Before(d.conns[oldest]) {
			oldest = c
		}
		if n, _ := sock.Peek(c); n <= 0 && time.Since(at) > adminFresh && (quiet == nil || at.Before(d.conns[quiet])) {
			quiet = c
		}
	}
	if quiet == nil && d.open > adminLast {
		return oldest
	}
	return quiet
}

// whole marks a connection whose call has come: it is answered, and closed by that.
func (d *adminEndpoint) whole(c net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, waits := d.conns[c]; waits {
		delete(d.conns, c)
		d.open--
	}
}

// byHand takes a backend out, or puts it back. The answer is yes once the Balancer has it.
func (d *adminEndpoint) byHand(w http.ResponseWriter, r *http.Request, out bool) {
	id := r.PathValue("id")
	if len(id) > idMost {
		reply1(w, http.StatusBadRequest, "backend: the id is too long\n")
		return
	}
	n := d.node
	var before []members.Call // a call back at this process may follow one out at the other
	if n.place != nil {
		before = n.place.Calls()
	}
	done := make(chan bool, 1)
	if !n.loop.PostFirst(func() {
		n.heed(n.hand.Hear(before, n.loop.Clock()))
		call, known := n.byHand(id, out)
		if n.place == nil || call.At == 0 {
			done <- known
			return
		}
		go func() { // files may be slow, and fail
			ctx, cancel := context.WithTimeout(r.Context(), adminWaits)
			defer cancel()
			if n.place.Persist(ctx, []members.Call{call}) == nil {
				done <- known
			}
		}()
	}) {
		reply1(w, http.StatusServiceUnavailable, "the node is ending\n")
		return
	}
	late := time.NewTimer(adminWaits)
	defer late.Stop()
	select {
	case known := <-done:
		if !known {
			reply1(w, http.StatusNotFound, "backend: discovery has named none with this id\n")
			return
		}
		reply1(w, http.StatusOK, "ok\n")
	case <-late.C:
		reply1(w, http.StatusGatewayTimeout, "the node is busy, or can't write the call down: it still counts as soon as it gets to it\n")
	}
}

// reply1 writes a short answer.
func reply1(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	w.Write([]byte(text))
}

// takeList merges a list with what operators took out and gives it to the engine. On the loop, or before it runs.
func (n *Node) takeList(kind balance.EventKind, list engine.List) {
	now := n.loop.Clock()
	list.Members = n.hand.Take(list.Members, list.Complete, now)
	if kind != balance.MembersRemembered {
		n.hand.Heard(now)
	}
	n.loop.TakeList(kind, list)
	n.countBackends()
}

// saw takes in how an attempt or a probe ended. On the loop.
func (n *Node) saw(id string, res engine.Result) {
	switch {
	case res.Refused:
		n.hand.Refused(id, n.loop.Clock())
	case n.hand.InDoubt() == 0: // mostly
	case res.Status == balance.Delivered, res.Status == balance.AppError, res.Status == balance.Shed:
		if lines := n.hand.Answered(id, n.loop.Clock()); len(lines) > 0 {
			n.log.Info("backend refused and answers: taken for a new process", "id", id)
			n.loop.Post(func() { n.heed(lines) }) // after what is in hand
		}
	}
}

// byHand takes in a call of operators and tells whether anybody has this id. On the loop.
func (n *Node) byHand(id string, out bool) (members.Call, bool) {
	lines, call, known := n.hand.Say(id, out, n.loop.Clock())
	if len(lines) > 0 {
		word := "put back"
		if out {
			word = "taken out"
		}
		n.log.Info("backend "+word+" by hand", "id", id)
	}
	n.heed(lines)
	return call, known
}

// heed tells the engine of lines that the operators' word has changed. On the loop.
func (n *Node) heed(lines []members.Line) {
	if len(lines) > 0 {
		n.loop.TakeList(balance.MembersChanged, engine.List{Members: lines})
	}
	n.countBackends()
}

// countBackends copies out what the loop owns. On the loop.
func (n *Node) countBackends() {
	listed, out := n.hand.Counts()
	n.figures.known.Store(int64(listed))
	n.figures.excluded.Store(int64(out + n.loop.Balancer.Avoided()))
}

// countOften copies out what the loop owns until ctx ends: which backends it avoids changes with each answer.
func (n *Node) countOften(ctx context.Context) {
	every(ctx, figuresEvery, func() { n.loop.PostFirst(n.countBackends) })
}

// canServe tells whether this process can serve: it has had a list that names a backend, and is not about to end.
func (n *Node) canServe() bool {
	if n.loop.Ready() {
		n.listed.Store(true)
	}
	return n.listed.Load() && n.running.Load() && !n.front.leaving.Load()
}
