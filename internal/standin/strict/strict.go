// Package strict parses HTTP/1.1 messages by the grammar of RFC 9110 and RFC 9112, for tests. Unlike the parsers of real servers it
// tolerates nothing: a line ends with CRLF, and no other control byte may stand in a head.
package strict

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Field is a header or trailer field.
type Field struct{ Name, Value string }

// Fields are the fields of a message in their order.
type Fields []Field

// Values returns the values of all fields of a name, in their order.
func (f Fields) Values(name string) (values []string) {
	for _, field := range f {
		if strings.EqualFold(field.Name, name) {
			values = append(values, field.Value)
		}
	}
	return values
}

// Request is a request as it came.
type Request struct {
	Method, Target string
	Fields         Fields
	Body           []byte
	Trailers       Fields
}

// Requests parses a stream of bytes that has to consist of whole requests.
func Requests(stream []byte) (requests []Request, err error) {
	for len(stream) > 0 {
		var r Request
		if r, stream, err = ParseRequest(stream); err != nil {
			return requests, err
		}
		requests = append(requests, r)
	}
	return requests, nil
}

// ParseRequest parses the first request of a stream and returns the bytes behind it.
func ParseRequest(stream []byte) (r Request, rest []byte, err error) {
	line, rest, err := cutLine(stream)
	if err != nil {
		return r, nil, err
	}
	words := strings.Split(line, " ")
	if len(words) != 3 || words[2] != "HTTP/1.1" {
		return r, nil, fmt.Errorf("request line %q: not METHOD TARGET HTTP/1.1", line)
	}
	r.Method, r.Target = words[0], words[1]
	if !isToken(r.Method) || r.Target == "" || !isText(r.Target) {
		return r, nil, fmt.Errorf("request line %q: method or target is malformed", line)
	}
	if r.Fields, rest, err = parseFields(rest); err != nil {
		return r, nil, err
	}
	if n := len(r.Fields.Values("Host")); n != 1 {
		return r, nil, fmt.Errorf("%d Host fields, one expected", n)
	}
	rest, err = r.parseBody(rest)
	return r, rest, err
}

func (r *Request) parseBody(stream []byte) (rest []byte, err error) {
	lengths, codings := r.Fields.Values("Content-Length"), r.Fields.Values("Transfer-Encoding")
	switch {
	case len(lengths)+len(codings) > 1:
		return nil, fmt.Errorf("framed more than once: Content-Length %q, Transfer-Encoding %q", lengths, codings)
	case len(codings) == 1 && codings[0] == "chunked":
		return r.parseChunks(stream)
	case len(codings) == 1:
		return nil, fmt.Errorf("Transfer-Encoding %q", codings[0])
	case len(lengths) == 0:
		return stream, nil
	}
	n, err := strconv.ParseUint(lengths[0], 10, 31)
	if err != nil || int(n) > len(stream) {
		return nil, fmt.Errorf("Content-Length %q with %d bytes to come", lengths[0], len(stream))
	}
	r.Body = stream[:n]
	return stream[n:], nil
}

func (r *Request) parseChunks(stream []byte) (rest []byte, err error) {
	for {
		line, rest, err := cutLine(stream)
		if err != nil {
			return nil, err
		}
		n, err := strconv.ParseUint(line, 16, 31)
		if err != nil {
			return nil, fmt.Errorf("chunk size %q", line)
		}
		if n == 0 {
			r.Trailers, rest, err = parseFields(rest)
			return rest, err
		}
		if len(rest) < int(n)+2 || !bytes.HasPrefix(rest[n:], []byte("\r\n")) {
			return nil, fmt.Errorf("chunk of %d bytes does not end with CRLF", n)
		}
		r.Body = append(r.Body, rest[:n]...)
		stream = rest[n+2:]
	}
}

// ParseAnswerHead parses the head of an answer and returns its status and the bytes behind it.
func ParseAnswerHead(stream []byte) (status int, fields Fields, rest []byte, err error) {
	line, rest, err := cutLine(stream)
	if err != nil {
		return 0, nil, nil, err
	}
	words := strings.SplitN(line, " ", 3)
	if len(words) != 3 || words[0] != "HTTP/1.1" || len(words[1]) != 3 {
		return 0, nil, nil, fmt.Errorf("status line %q", line)
	}
	if status, err = strconv.Atoi(words[1]); err != nil {
		return 0, nil, nil, fmt.Errorf("status line %q", line)
	}
	fields, rest, err = parseFields(rest)
	return status, fields, rest, err
}

// parseFields parses fields up to the empty line that ends them.
func parseFields(stream []byte) (fields Fields, rest []byte, err error) {
	for {
		line, rest, err := cutLine(stream)
		if err != nil {
			return nil, nil, err
		}
		if line == "" {
			return fields, rest, nil
		}
		name, value, hasColon := strings.Cut(line, ":")
		if !hasColon || !isToken(name) {
			return nil, nil, fmt.Errorf("field line %q: no name", line)
		}
		fields = append(fields, Field{name, strings.Trim(value, " \t")})
		stream = rest
	}
}

// cutLine cuts the first line off a stream. A control byte other than a tab in it is an error.
func cutLine(stream []byte) (line string, rest []byte, err error) {
	before, rest, found := bytes.Cut(stream, []byte("\r\n"))
	if !found {
		return "", nil, fmt.Errorf("no CRLF in %q", stream)
	}
	for _, b := range before {
		if b < ' ' && b != '\t' || b == 0x7f {
			return "", nil, fmt.Errorf("control byte %#02x in line %q", b, before)
		}
	}
	return string(before), rest, nil
}

// isText reports whether a word has no space and no control byte.
func isText(word string) bool {
	return strings.IndexFunc(word, func(r rune) bool { return r <= ' ' || r == 0x7f }) < 0
}

// isToken reports whether a word is a token (RFC 9110, section 5.6.2).
func isToken(word string) bool {
	return word != "" && strings.IndexFunc(word, func(r rune) bool {
		isAlphanumeric := '0' <= r && r <= '9' || 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z'
		return !isAlphanumeric && !strings.ContainsRune("!#$%&'*+-.^_`|~", r)
	}) < 0
}
