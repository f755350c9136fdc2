package httpfront

import (
	"bytes"
	"net/http"
	"testing"

	"glencart/internal/standin/strict"
)

// Guards against a message that a backend reads as another one, or as two: what is encoded parses to the message, or is refused.
func FuzzMessage(f *testing.F) {
	f.Add("GET", "/", "shop.mn", "X-Path", "/a\r\n\r\nPOST /kitchen/close HTTP/1.1\r\nHost: shop.mn\r\n\r\n", "", "", []byte(""))
	f.Add("POST", "/a?b=%0D", "/host/x\nEvil: x", "X", "v", "X-Sum", "1", []byte("body"))
	f.Add("POST", "/", "shop.mn", "X", "v", "X-Sum", "1\rEvil: x", []byte("0\r\n\r\nGET / HTTP/1.1\r\n\r\n"))
	f.Add("PUT", "/", "shop.mn", "Content-Length", "5", "Transfer-Encoding", "chunked", []byte("body"))
	f.Add("POST", "/", "shop.mn", "X", "v", "connection", "x-sum", []byte(""))
	f.Fuzz(func(t *testing.T, method, target, host, name, value, trailer, trailerValue string, body []byte) {
		m := &message{method: method, target: target, host: host, held: body, length: int64(len(body))}
		if trailer != "" {
			m.length, m.trailer = -1, http.Header{http.CanonicalHeaderKey(trailer): {trailerValue}}
		}
		if m.encodeHead(http.Header{name: {value}}) != nil {
			return
		}
		if trailer != "" {
			if m.announceTrailers() != nil {
				return
			}
			var err error
			if m.closing, err = m.encodeClosing(); err != nil {
				return
			}
		}
		text := m.encode()
		requests, err := strict.Requests(text)
		if err != nil || len(requests) != 1 {
			t.Fatalf("%q parses to %d requests (%v)", text, len(requests), err)
		}
		r := requests[0]
		if r.Method != method || r.Target != target || r.Fields.Values("Host")[0] != host || !bytes.Equal(r.Body, body) {
			t.Fatalf("%q parses to another request: %+v", text, r)
		}
		if len(r.Trailers) != len(m.trailer) {
			t.Fatalf("%q has the trailers %v, given %v", text, r.Trailers, m.trailer)
		}
		if len(r.Fields) > 5 {
			t.Fatalf("%q has fields that were not given: %v", text, r.Fields)
		}
	})
}
