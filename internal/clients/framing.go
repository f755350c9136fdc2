package clients

// This file follows how the requests on a connection are framed.

import (
	"bytes"
	"strconv"
	"strings"
	"sync/atomic"
)

// framing watches how the requests on a client's connection are framed, as they pass. net/http drops
// Content-Length where Transfer-Encoding stands beside it, before a handler can see both; yet such a request may
// hide another in its body from who goes by the length. Nothing is held back or changed here.
type framing struct {
	// Unsure: a head gave its length in two ways, or in a way that can't be followed. It is never taken back:
	// where a request ends is not known any more, so nothing further on the connection can be trusted.
	Unsure atomic.Bool
	// Chunked: a body came in chunks, whose end is not looked for here: this request is the last one.
	Chunked atomic.Bool

	// asked is how many whole requests have been read and not been answered: some may stand behind the first.
	asked atomic.Int32

	// begun: some of a request has been read, and not all of it. net/http tells of a request once its head is whole.
	begun atomic.Bool

	// opaque: what passes is TLS, and its requests can't be told. All that has come since the last answer is taken for one.
	opaque bool

	readAfter atomic.Int64 // how long after its listener a byte came last, ns; 0: none has

	line   []byte // the head's line so far, cut at lineMost
	long   bool   // and whether it is longer
	lines  int    // of the head so far
	length int64  // by the head so far; -1 when it gives none
	coded  bool   // the head has Transfer-Encoding
	rest   int64  // of the body
}

// lineMost is longer than any line that matters here.
const lineMost = 64

// saw takes in what has been read.
func (f *framing) saw(p []byte) {
	if f.opaque {
		if len(p) > 0 {
			f.asked.Store(1)
		}
		return
	}
	if len(p) == 0 {
		return
	}
	// Of what is not followed further nobody knows where it ends: some of it is under way until it has its answer.
	defer func() {
		f.begun.Store(f.rest > 0 || f.lines > 0 || len(f.line) > 0 || f.Unsure.Load() || f.Chunked.Load())
	}()
	for len(p) > 0 && !f.Unsure.Load() && !f.Chunked.Load() {
		if f.rest > 0 {
			n := min(f.rest, int64(len(p)))
			f.rest -= n
			p = p[n:]
			if f.rest == 0 {
				f.asked.Add(1)
			}
			continue
		}
		part := p
		end := bytes.IndexByte(p, '\n')
		if end >= 0 {
			part, p = p[:end], p[end+1:]
		} else {
			p = nil
		}
		room := min(lineMost-len(f.line), len(part))
		f.line, f.long = append(f.line, part[:room]...), f.long || room < len(part)
		if end >= 0 {
			f.headLine()
			f.line, f.long = f.line[:0], false
		}
	}
}

// headLine takes in a line of a head.
func (f *framing) headLine() {
	line := strings.TrimSuffix(string(f.line), "\r")
	f.lines++
	name, value, _ := strings.Cut(line, ":")
	switch {
	case line == "" && !f.long:
		switch {
		case f.coded && f.length >= 0:
			f.Unsure.Store(true)
		case f.coded:
			f.Chunked.Store(true)
		case f.length <= 0:
			f.asked.Add(1)
		}
		f.rest, f.length, f.coded, f.lines = max(f.length, 0), -1, false, 0
		return
	case strings.EqualFold(strings.TrimSpace(name), "Transfer-Encoding"):
		f.coded = true
	case strings.EqualFold(strings.TrimSpace(name), "Content-Length"):
		n, err := strconv.ParseUint(strings.TrimSpace(value), 10, 63)
		if err != nil || f.long || f.length >= 0 && f.length != int64(n) {
			f.Unsure.Store(true)
			return
		}
		f.length = int64(n)
	}
}

// inHead tells whether a head has begun and is not whole.
func (f *framing) inHead() bool { return f.rest == 0 && (f.lines > 0 || len(f.line) > 0) }

// asking tells whether a whole request has been read that has no answer yet.
func (f *framing) asking() bool { return f.asked.Load() > 0 }

// Behind tells whether a further whole request has been read behind the one that is under way: an answer that closes would lose it.
func (f *framing) Behind() bool { return f.asked.Load() > 1 && !f.Chunked.Load() && !f.Unsure.Load() }

// answered takes in that a request has had its answer. Reading may add to them meanwhile.
func (f *framing) answered() {
	if f.asked.Load() > 0 {
		f.asked.Add(-1)
	}
	if f.Chunked.Load() || f.Unsure.Load() {
		f.begun.Store(false)
	}
}
