package node

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"glencart/internal/lograte"
	"glencart/internal/members/registry/pace"
)

// A node that had been held up, or had just begun, sent requests by a list that its agent had replaced long before. A request that meets a
// list which the agent has not confirmed recently must wait for the agent's next answer.
func TestRequestAwaitsConfirmationOfList(t *testing.T) {
	var node atomic.Pointer[Node]
	var requests, early atomic.Int64
	b := newRawBackend(t, "127.0.0.1:0", serveAnswersTo(func(r *http.Request) {
		requests.Add(1)
		if ok, _, _ := node.Load().currency.check(); !ok {
			early.Add(1)
		}
	}))
	text := listText(1, true, listedBackend{ID: "s", Addr: b.Addr().String(), Phase: "ready"})
	n := startNode(t, testConfig(t, newRegistry(t, text).Addr, text))
	node.Store(n.Node)
	eventually(t, "the node accepting clients", n.isServing.Load)
	for i := range 3 {
		n.currency.mu.Lock()
		n.currency.currency = pace.NewCurrency(0) // as at the start, or after a long hold-up
		n.currency.mu.Unlock()
		if resp, _ := doRequest(t, newTestRequest(t, n.url+"/api/x", "order")); resp.StatusCode != http.StatusOK {
			t.Errorf("request %d: %d", i, resp.StatusCode)
		}
	}
	if requests.Load() != 3 || early.Load() > 0 || n.currency.waits.Load() < 3 {
		t.Errorf("%d requests, %d of them before a confirmation, %d waits", requests.Load(), early.Load(), n.currency.waits.Load())
	}
}

// serveAnswersTo returns a function that serves requests on a connection. It calls received for each that is no probe.
func serveAnswersTo(received func(r *http.Request)) func(net.Conn, *bufio.Reader) {
	return serveAnswers(func(r *http.Request) string {
		if r.URL.Path != "/stats" {
			received(r)
		}
		return ok200("x")
	})
}

// A silent agent has nothing to report. Requests are sent as long as calls to it go on.
func TestSilentAgentHoldsNoRequests(t *testing.T) {
	l := newListCurrency(500*time.Millisecond, nil, &lograte.Limited{Log: discardLog()})
	l.ListCallBegan(func() bool { return false })
	began := time.Now()
	l.await(t.Context())
	if waited := time.Since(began); waited < pace.AnswerPatience-time.Millisecond || l.unconfirmed.Load() != 0 {
		t.Errorf("waited %v, %d requests sent without a call", waited, l.unconfirmed.Load())
	}
	l.await(t.Context())
	if l.waits.Load() != 1 {
		t.Errorf("%d waits", l.waits.Load())
	}
}

// With descriptors or time run out, the node could not call its agent, and sent by the list that it had. An attempt must not be sent by a list
// that is neither confirmed nor called for.
func TestUnconfirmedListSendsNothing(t *testing.T) {
	l := newListCurrency(500*time.Millisecond, nil, &lograte.Limited{Log: discardLog()})
	l.ListCallNotSent(l.ListCallBegan(func() bool { return false }))
	if l.await(t.Context()) || l.unconfirmed.Load() != 1 {
		t.Errorf("an attempt may be sent; %d were not", l.unconfirmed.Load())
	}
}
