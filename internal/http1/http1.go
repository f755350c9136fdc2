// Package http1 encodes the heads of HTTP/1.1 messages (RFC 9112). It refuses a method, target, host, field name or field value whose
// bytes would end its line, and fields that would frame the message a second time, so that a head parses to what was given and nothing
// else. It doesn't write to connections, and doesn't encode bodies.
package http1

import (
	"fmt"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Part is a part of a head.
type Part uint8

// Parts of a head.
const (
	Method Part = iota
	Target
	Host
	FieldName
	FieldValue
	Framing // a field that the owner of the connection encodes
)

var partNames = [...]string{"method", "request target", "Host", "field name", "field value", "framing field"}

// String returns the name of a part.
func (p Part) String() string { return partNames[p] }

// InvalidError reports a part that can't stand in a head.
type InvalidError struct {
	Part  Part
	Field string // name of the field, if Part is FieldName, FieldValue or Framing
}

// Error describes the part. It doesn't contain a value, which may be a client's secret.
func (e *InvalidError) Error() string {
	if e.Part < FieldName {
		return fmt.Sprintf("HTTP/1.1 head: invalid %v", e.Part)
	}
	return fmt.Sprintf("HTTP/1.1 head: invalid %v: %q", e.Part, e.Field)
}

// AppendRequest appends the request line, the Host field and the other fields of a request. The framing fields, the empty line and the
// body follow. It returns an InvalidError, and no bytes, if a part is invalid.
func AppendRequest(b []byte, method, target, host string, header http.Header) ([]byte, error) {
	switch {
	case !httpguts.ValidHeaderFieldName(method): // a method is a token too
		return nil, &InvalidError{Part: Method}
	case !IsValidTarget(target):
		return nil, &InvalidError{Part: Target}
	case !httpguts.ValidHostHeader(host):
		return nil, &InvalidError{Part: Host}
	}
	b = append(append(b, method...), ' ')
	b = append(append(b, target...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, host...), "\r\n"...)
	return AppendFields(b, header)
}

// AppendFields appends header or trailer fields. It returns an InvalidError, and no bytes, if one is invalid.
func AppendFields(b []byte, header http.Header) ([]byte, error) {
	for name, values := range header {
		switch {
		case isFraming(name):
			return nil, &InvalidError{Part: Framing, Field: name}
		case !httpguts.ValidHeaderFieldName(name):
			return nil, &InvalidError{Part: FieldName, Field: name}
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return nil, &InvalidError{Part: FieldValue, Field: name}
			}
			b = append(append(b, name...), ": "...)
			b = append(append(b, value...), "\r\n"...)
		}
	}
	return b, nil
}

// IsValidTarget reports whether a target can stand in a request line. Bytes beyond ASCII are allowed, because clients send them and
// they go to backends as received.
func IsValidTarget(target string) bool {
	for i := range len(target) {
		if target[i] <= ' ' || target[i] == 0x7f {
			return false
		}
	}
	return target != ""
}

// isFraming reports whether a field says how a message is framed or which host it is for. Only the owner of the connection may encode
// these.
func isFraming(name string) bool {
	switch len(name) {
	case len("Host"):
		return strings.EqualFold(name, "Host")
	case len("Connection"):
		return strings.EqualFold(name, "Connection")
	case len("Content-Length"):
		return strings.EqualFold(name, "Content-Length")
	case len("Transfer-Encoding"):
		return strings.EqualFold(name, "Transfer-Encoding")
	}
	return false
}
