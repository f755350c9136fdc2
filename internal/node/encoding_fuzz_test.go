package node

import (
	"bytes"
	"net/http"
	"net/url"
	"testing"
	"time"

	"glencart/internal/standin/strict"
)

// Guards against a message that a backend reads as another one, or as two: what is encoded parses to the message, or is refused.
func FuzzMessage(f *testing.F) {
	f.Add("POST", "/api/x", "shop.mn", "X-Trace-Id", "1\r\n\r\nPOST /api/y HTTP/1.1\r\nHost: shop.mn\r\n\r\n", []byte("body"))
	f.Add("GET", "/api/x HTTP/1.1\r\nEvil: x", "shop.mn", "X", "v", []byte(""))
	f.Add("GET", "/api/x", "shop.mn\nEvil: x", "X", "v", []byte(""))
	f.Add("GET /api/y HTTP/1.1\r\n", "/api/x", "", "Content-Length", "5", []byte("body"))
	f.Fuzz(func(t *testing.T, method, target, host, name, value string, body []byte) {
		m := &message{method: method, uri: "/" + target, url: &url.URL{}, host: host, header: http.Header{name: {value}}, body: body}
		text, err := m.encode("127.0.0.1:80", time.Second)
		if err != nil {
			return
		}
		requests, err := strict.Requests(text)
		if err != nil || len(requests) != 1 {
			t.Fatalf("%q parses to %d requests (%v)", text, len(requests), err)
		}
		if r := requests[0]; r.Method != method || r.Target != "/"+target || !bytes.Equal(r.Body, body) || len(r.Fields) > 4 {
			t.Fatalf("%q parses to another request: %+v", text, r)
		}
	})
}
