package node

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"glencart/internal/sock"
	"glencart/life"
)

// clientTally counts the results of requests that clients send until a node ends. If a reused connection closes under a
// request, the client can conclude that the request was not read, and send it to another node. On a new connection such a
// close counts as a refusal. Times are since began.
type clientTally struct {
	mu                                        sync.Mutex
	written, answered, served, newConnRefused int
	lost, crossedByClose                      []string // ids
	began                                     time.Time
	lastWritten, lastAnswered, lastAccepted   time.Duration // of those that were answered
}

// sendUntilClosed sends one request after another on a connection until the connection closes.
func (counts *clientTally) sendUntilClosed(c net.Conn, seed uint64) {
	defer c.Close()
	rng := rand.New(rand.NewPCG(seed, 0))
	r := bufio.NewReader(c)
	for first := true; ; first = false {
		id := fmt.Sprintf("until-%d", lastID.Add(1))
		class, head := "order", "POST /api/%s HTTP/1.1\r\nContent-Length: 3\r\n"
		if rng.IntN(2) == 0 {
			class, head = "read", "GET /api/%s HTTP/1.1\r\n"
		}
		what := [...]string{"quick", "quick", "quick", "slow", "never"}[rng.IntN(5)]
		text := fmt.Sprintf(head+"Host: x\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Customer: acme\r\nX-Expires-In: 0.3\r\n\r\n", what, id, class)
		if class == "order" {
			text += "abc"
		}
		if !first && !sock.IsIdle(c) {
			return // closed between two requests, which the client sees before it writes
		}
		writtenAt := time.Since(counts.began)
		_, err := io.WriteString(c, text)
		var resp *http.Response
		answerBegan := false
		if err == nil {
			_, err = r.Peek(1)
			answerBegan = err == nil
		}
		if err == nil {
			if resp, err = http.ReadResponse(r, nil); err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
		}
		counts.mu.Lock()
		counts.written++
		switch {
		case err == nil:
			counts.answered++
			if resp.StatusCode == http.StatusOK {
				counts.served++
			}
			counts.lastWritten, counts.lastAnswered = max(counts.lastWritten, writtenAt), max(counts.lastAnswered, time.Since(counts.began))
			if first {
				counts.lastAccepted = max(counts.lastAccepted, writtenAt)
			}
		case answerBegan:
			counts.lost = append(counts.lost, fmt.Sprintf("%s: %v during its answer", id, err))
		default:
			counts.crossedByClose = append(counts.crossedByClose, id)
			if first {
				counts.newConnRefused++
			}
		}
		counts.mu.Unlock()
		if err != nil || resp.Close {
			return
		}
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
	}
}

// After SIGTERM clients keep sending on every open connection, and new ones connect for 0.4 s. Each request that the node has read gets
// its whole answer in time. A request that a close crosses was not read, reaches no backend, and is never the first on its connection.
func TestClientsSendDuringShutdown(t *testing.T) {
	for _, deadline := range []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second} {
		t.Run(deadline.String(), func(t *testing.T) {
			if faults, late := runShutdownUnderLoad(t, deadline); len(faults) > 0 {
				t.Errorf("%q; timers of the machine were late by %v", faults, late)
			}
		})
	}
}

// runShutdownUnderLoad runs the shutdown of one node under load. late is the largest delay of a timer on this machine.
func runShutdownUnderLoad(t *testing.T, deadline time.Duration) (faults []string, late time.Duration) {
	ran := sync.Map{}
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(r *http.Request) string {
		ran.Store(r.Header.Get("X-Trace-Id"), true)
		switch r.URL.Path {
		case "/api/slow":
			time.Sleep(120 * time.Millisecond)
		case "/api/never":
			select {}
		}
		return ok200("x")
	}))
	text := listText(1, true, listedBackend{ID: "s", Addr: b.Addr().String(), Phase: "ready"})
	n := startNode(t, testConfig(t, newRegistry(t, text).Addr, text, `"deadline":10000000000`, fmt.Sprintf(`"deadline":%d`, deadline)))
	eventually(t, "the node accepting clients", n.isServing.Load)
	counts := &clientTally{began: time.Now()}
	var clients sync.WaitGroup
	connect := func() { // a client that can't connect sends nothing
		if c, err := net.Dial("tcp", n.Addr().String()); err == nil {
			c.SetDeadline(time.Now().Add(testTimeout))
			clients.Go(func() { counts.sendUntilClosed(c, uint64(lastID.Add(1))) })
		}
	}
	const first = 16
	for range first {
		connect()
	}
	eventually(t, "all connected", func() bool { return n.listener.OpenCount() == first })
	done := make(chan struct{})
	clients.Go(func() {
		const every = 5 * time.Millisecond
		for at := time.Now(); ; at = time.Now() {
			select {
			case <-done:
				return
			case <-time.After(every):
				late = max(late, time.Since(at)-every)
			}
		}
	})
	stoppedAt := time.Since(counts.began)
	n.stop()
	for time.Since(counts.began)-stoppedAt < life.Platform.NewConnectionsWindow {
		connect()
		time.Sleep(10 * time.Millisecond)
	}
	if err := receive(t, "the end of the node", n.result); err != nil {
		t.Error(err)
	}
	ended := time.Since(counts.began) - stoppedAt
	close(done)
	clients.Wait()
	addFault := func(is bool, format string, args ...any) {
		if is {
			faults = append(faults, fmt.Sprintf(format, args...))
		}
	}
	for _, id := range counts.crossedByClose {
		_, is := ran.Load(id)
		addFault(is, "%s: closed without an answer, but it ran", id)
	}
	accepted, written, answered, killAt := counts.lastAccepted-stoppedAt, counts.lastWritten-stoppedAt, counts.lastAnswered-stoppedAt, deadline+life.Platform.Grace
	book := &n.front.requestCounts
	acceptedRequests, open, left := int(book.Accepted.Load()), book.Open(), book.ClientLeft.Load()
	t.Logf("%d written, %d answered (%d served), %d crossed by a close; last connection after %v, last write %v, last answer %v, end %v of %v; timers late by %v",
		counts.written, counts.answered, counts.served, len(counts.crossedByClose), accepted, written, answered, ended, killAt, late)
	addFault(len(counts.lost) > 0, "lost: %q", counts.lost)
	addFault(counts.newConnRefused > 0, "%d new connections closed without an answer", counts.newConnRefused)
	addFault(acceptedRequests != counts.answered || open != 0 || left != 0, "accepted %d, open %d, left %d; clients have %d answers", acceptedRequests, open, left, counts.answered)
	// Late timers of the machine delay the node too.
	addFault(answered > killAt-life.ShutdownMargin/2+late || ended >= killAt+late, "last answer after %v, end after %v, SIGKILL after %v", answered, ended, killAt)
	addFault(accepted < life.Platform.NewConnectionsWindow/2-late || counts.served == 0 || len(counts.crossedByClose) > counts.written/20, "accepted connections for %v, %d served, %d crossed by a close", accepted, counts.served, len(counts.crossedByClose))
	return faults, late
}
