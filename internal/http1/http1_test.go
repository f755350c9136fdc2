package http1

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"glencart/internal/standin/strict"
)

// Guards against a head that says something else than what was given: every byte in every part of a request either stands there as it
// was given, or the request is refused and nothing is encoded.
func TestNoByteEndsItsPart(t *testing.T) {
	for b := range 256 {
		text := "a" + string([]byte{byte(b)}) + "b"
		for _, part := range []struct {
			name string
			r    request
			want Part
		}{
			{"method", request{method: text, target: "/", host: "h"}, Method},
			{"target", request{method: "GET", target: "/" + text, host: "h"}, Target},
			{"host", request{method: "GET", target: "/", host: text}, Host},
			{"name", request{method: "GET", target: "/", host: "h", name: text, value: "v"}, FieldName},
			{"value", request{method: "GET", target: "/", host: "h", name: "X", value: text}, FieldValue},
		} {
			if err := part.r.check(); err != nil {
				t.Errorf("%s %q: %v", part.name, text, err)
			}
			var invalid *InvalidError
			if _, err := part.r.encode(); b < ' ' && b != '\t' && (!errors.As(err, &invalid) || invalid.Part != part.want) {
				t.Errorf("%s %q: %v, expected an invalid %v", part.name, text, err, part.want)
			}
		}
	}
}

// Guards against a second framing of a message: the fields for that are the connection owner's.
func TestFramingFieldsAreRefused(t *testing.T) {
	for _, name := range []string{"Host", "connection", "CONTENT-LENGTH", "Transfer-Encoding"} {
		var invalid *InvalidError
		if b, err := AppendFields([]byte("x"), http.Header{name: {"1"}}); b != nil || !errors.As(err, &invalid) || invalid.Part != Framing || invalid.Field != name {
			t.Errorf("%s: %q, %v", name, b, err)
		}
	}
}

// request is what AppendRequest is given, with one field.
type request struct{ method, target, host, name, value string }

func (r request) header() http.Header {
	if r.name == "" {
		return nil
	}
	return http.Header{r.name: {r.value}}
}

func (r request) encode() ([]byte, error) {
	return AppendRequest(nil, r.method, r.target, r.host, r.header())
}

// check reports an encoded head that a strict parser doesn't read as the request.
func (r request) check() error {
	head, err := r.encode()
	if err != nil {
		if head != nil {
			return errors.New("an error, and bytes")
		}
		return nil
	}
	got, rest, err := strict.ParseRequest(append(head, "\r\n"...))
	if err != nil {
		return err
	}
	fields := strict.Fields{{Name: "Host", Value: r.host}}
	if r.name != "" {
		fields = append(fields, strict.Field{Name: r.name, Value: strings.Trim(r.value, " \t")})
	}
	if got.Method != r.method || got.Target != r.target || len(rest) != 0 || len(got.Fields) != len(fields) {
		return errors.New("parses to another request: " + string(head))
	}
	for i := range fields {
		if got.Fields[i] != fields[i] {
			return errors.New("parses to other fields: " + string(head))
		}
	}
	return nil
}

// Guards against a head that parses to another request than the one given, or to two.
func FuzzAppendRequest(f *testing.F) {
	f.Add("GET", "/", "shop.mn", "X-Path", "/notes/no onions")
	f.Add("GET", "/", "shop.mn", "X-Path", "/a\r\n\r\nPOST /kitchen/close HTTP/1.1\r\nHost: shop.mn\r\n\r\n")
	f.Add("GET", "/", "/a\nEvil: x", "X", "v")
	f.Add("GET", "/ HTTP/1.1\r\nEvil: x\r\n", "h", "X: y\r\nZ", "v")
	f.Add("GET /x HTTP/1.1\r\n", "/\x7f", "[::1%25 a]", "Content-Length", "5")
	f.Add("POST", "/\xd1\x85?a=%0D", "h", "transfer-encoding", "chunked")
	f.Add("GET", "*", "", "X", " \t")
	f.Fuzz(func(t *testing.T, method, target, host, name, value string) {
		if err := (request{method, target, host, name, value}).check(); err != nil {
			t.Error(err)
		}
	})
}

// usualHeader is the header of a usual request.
var usualHeader = http.Header{"Accept": {"*/*"}, "User-Agent": {"Mozilla/5.0 (X11; Linux x86_64) AppleWebKit/537.36 (KHTML, like Gecko)"},
	"X-Forwarded-For": {"203.0.113.7"}, "Forwarded": {"for=203.0.113.7;host=shop.mn;proto=https"}, "X-Forwarded-Proto": {"https"},
	"X-Forwarded-Host": {"shop.mn"}, "X-Request-Id": {"18ee205598b5f9f6-2a"}, "Cookie": {"session=0123456789abcdef0123456789abcdef"}}

// appendUnchecked is the encoder without checks, for comparison.
func appendUnchecked(b []byte, method, target, host string, header http.Header) []byte {
	b = append(b, method+" "+target+" HTTP/1.1\r\nHost: "+host+"\r\n"...)
	for name, values := range header {
		for _, v := range values {
			b = append(b, name+": "+v+"\r\n"...)
		}
	}
	return b
}

// The cost of the checks for a request in which nothing is expanded: both sides in one process.
func BenchmarkAppendRequest(b *testing.B) {
	b.Run("unchecked", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			appendUnchecked(make([]byte, 0, 1<<10), "GET", "/menu/today?lang=mn", "shop.mn", usualHeader)
		}
	})
	b.Run("checked", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := AppendRequest(make([]byte, 0, 1<<10), "GET", "/menu/today?lang=mn", "shop.mn", usualHeader); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// Guards against checks that cost every request an allocation.
func TestChecksAllocateNothing(t *testing.T) {
	room := make([]byte, 0, 4<<10)
	if n := testing.AllocsPerRun(100, func() {
		if _, err := AppendRequest(room, "GET", "/menu/today?lang=mn", "shop.mn", usualHeader); err != nil {
			t.Fatal(err)
		}
	}); n != 0 {
		t.Errorf("%v allocations", n)
	}
}
