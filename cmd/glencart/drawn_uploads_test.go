package main

// The test of this file guards against uploads whose final answer comes after their time, or not at all, because their backend reads them
// slowly, stops within them, answers before their end or closes. It draws framing, size and what the backend does by seed.

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

var (
	drawnUploadSeeds = flag.Int("uploads.seeds", 3, "number of seeds for the test of drawn uploads")
	drawnUploadFirst = flag.Uint64("uploads.first", 4, "first seed")
)

// readerEnd is what a backend does within a body.
type readerEnd string

const (
	readsAll     readerEnd = "all"
	stopsReading readerEnd = "stops"  // and keeps the connection
	answersEarly readerEnd = "early"  // and reads on
	closesEarly  readerEnd = "closes" // without an answer
)

// drawnUpload is the plan of one upload.
type drawnUpload struct {
	size, step int           // bytes of the body; bytes that the backend reads at once
	pause      time.Duration // between two reads
	end        readerEnd
	endAfter   int // bytes; for all ends but readsAll
	isChunked  bool
	isExpected bool // the client sends "Expect: 100-continue" and waits a moment for the 100
}

const (
	minUploadSize, maxUploadSize = 64 << 10, 14 << 20
	uploadStep                   = 4 << 10
	minReadPause, maxReadPause   = 4 * time.Millisecond, 100 * time.Millisecond
	// continueWait is how long a client waits for a 100 (RFC 9110, section 10.1.1, gives no time).
	continueWait = 100 * time.Millisecond
	// uploadsInSeries is how many uploads a client sends on one connection.
	uploadsInSeries = 2
)

func newDrawnUpload(rng *rand.Rand) drawnUpload {
	u := drawnUpload{size: minUploadSize << rng.IntN(8), step: uploadStep << rng.IntN(4), isChunked: rng.IntN(2) == 0, isExpected: rng.IntN(4) == 0}
	u.size = min(u.size+rng.IntN(u.size), maxUploadSize)
	u.pause = minReadPause + time.Duration(rng.Int64N(int64(maxReadPause-minReadPause)))
	u.end = [...]readerEnd{readsAll, readsAll, stopsReading, answersEarly, closesEarly}[rng.IntN(5)]
	u.endAfter = rng.IntN(u.size)
	return u
}

// target returns a request target that contains the plan.
func (u drawnUpload) target() string {
	return "/api/drawn?" + url.Values{"step": {strconv.Itoa(u.step)}, "pause": {u.pause.String()}, "end": {string(u.end)},
		"after": {strconv.Itoa(u.endAfter)}}.Encode()
}

// serveDrawnUploads serves uploads as their targets say, and everything else at once.
func serveDrawnUploads(c net.Conn, r *bufio.Reader) {
	for {
		hr, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		text := "x"
		switch hr.URL.Path {
		case "/api/drawn":
			if !readAsDrawn(c, hr) {
				return
			}
		case "/stats":
			text = "TEXT inflight=1"
			fallthrough
		default:
			io.Copy(io.Discard, hr.Body)
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
}

// readAsDrawn reads a body. It reports whether the answer is to follow.
func readAsDrawn(c net.Conn, hr *http.Request) bool {
	query := hr.URL.Query()
	step, _ := strconv.ParseInt(query.Get("step"), 10, 64)
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	pause, _ := time.ParseDuration(query.Get("pause"))
	end := readerEnd(query.Get("end"))
	for total := int64(0); ; {
		n, err := io.CopyN(io.Discard, hr.Body, step)
		if errors.Is(err, io.EOF) {
			return true
		}
		if total += n; err != nil {
			return false
		}
		if total >= after {
			switch end {
			case stopsReading:
				time.Sleep(5 * time.Second)
				return false
			case answersEarly:
				io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
				io.Copy(io.Discard, hr.Body)
				return false
			case closesEarly:
				return false
			}
		}
		time.Sleep(pause)
	}
}

// sendDrawnUpload sends an upload and returns its status and how long after its time the answer came. The time begins when the client has
// written the last byte. open reports whether the connection can carry another request.
func sendDrawnUpload(c net.Conn, in *bufio.Reader, u drawnUpload, id string) (status int, late time.Duration, open bool, err error) {
	fields := fmt.Sprintf("Content-Length: %d\r\n", u.size)
	if u.isChunked {
		fields = "Transfer-Encoding: chunked\r\n"
	}
	if u.isExpected {
		fields += "Expect: 100-continue\r\n"
	}
	io.WriteString(c, pressureRequest("order", u.target(), id, unsafeBudget, fields))
	if u.isExpected {
		time.Sleep(continueWait) // as a client does that gets no 100
	}
	c.SetReadDeadline(time.Now().Add(60 * time.Second))
	type answer struct {
		resp *http.Response
		at   time.Time
		err  error
	}
	answered := make(chan answer, 1)
	go func() {
		for {
			resp, err := http.ReadResponse(in, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			if err == nil && resp.StatusCode == http.StatusContinue {
				continue
			}
			answered <- answer{resp, time.Now(), err}
			return
		}
	}()
	wroteAll := writeBody(c, u)
	sentAt := time.Now()
	a := <-answered
	if a.err != nil && a.resp != nil {
		return a.resp.StatusCode, 0, false, fmt.Errorf("answer cut off, %d bytes stated: %w", a.resp.ContentLength, a.err)
	}
	if a.err != nil {
		return 0, 0, false, fmt.Errorf("no answer, %v after the last byte, all sent %t: %w", a.at.Sub(sentAt), wroteAll, a.err)
	}
	return a.resp.StatusCode, a.at.Sub(sentAt) - unsafeBudget, wroteAll && !a.resp.Close, nil
}

// writeBody writes the body of an upload. It reports whether it could write all of it.
func writeBody(c net.Conn, u drawnUpload) bool {
	const piece = 50_000
	for left := u.size; left > 0; {
		n := min(left, piece)
		left -= n
		text := strings.Repeat("x", n)
		if u.isChunked {
			text = fmt.Sprintf("%x\r\n%s\r\n", n, text)
		}
		if _, err := io.WriteString(c, text); err != nil {
			return false
		}
	}
	if u.isChunked {
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
	return true
}

func TestDrawnUploadsAreAnsweredInTime(t *testing.T) {
	const clients = 12
	for i := range *drawnUploadSeeds {
		seed := *drawnUploadFirst + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 83))
			n := startPressureNode(t, pressureLimits{memoryMB: [...]int{48, 96}[rng.IntN(2)], sockets: 512}, serveDrawnUploads)
			var wg sync.WaitGroup
			var mu sync.Mutex
			statuses := map[int]int{}
			for client := range clients {
				rng := rand.New(rand.NewPCG(seed, rng.Uint64()))
				wg.Go(func() {
					c, err := n.dialClient()
					if err != nil {
						t.Error(err)
						return
					}
					defer c.Close()
					in := bufio.NewReader(c)
					for i, open := 0, true; open && i < uploadsInSeries; i++ {
						u := newDrawnUpload(rng)
						id := fmt.Sprintf("drawn-%d-%02d-%04d", seed, client, i)
						var status int
						var late time.Duration
						status, late, open, err = sendDrawnUpload(c, in, u, id)
						mu.Lock()
						statuses[status]++
						mu.Unlock()
						if err != nil || late > maxLate {
							t.Errorf("%s: %+v: %d %v after its time, %v", id, u, status, late, err)
						}
					}
				})
			}
			wg.Wait()
			t.Logf("%d uploads by status: %v", clients*uploadsInSeries, statuses)
		})
	}
}
