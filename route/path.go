package route

import (
	"bytes"
	"errors"
	"strings"
)

// Errors that Normalize returns.
var (
	ErrNoSlash = errors.New("path: doesn't begin with a slash")
	ErrEscape  = errors.New("path: percent sign without two hexadecimal digits")
	ErrNUL     = errors.New("path: contains a NUL byte")
	ErrAbove   = errors.New("path: leads above the root")
)

// Normalize converts the path of a request target (RFC 9112, section 3.2), without its query, to the form that locations
// are compared with. It decodes percent-encodings once, merges adjacent slashes where merge is set, and resolves "." and
// ".." segments, also encoded ones, since a backend may decode them. A path that is already normalized is returned as it
// is, without an allocation.
func Normalize(raw string, merge bool) (string, error) {
	if raw == "" || raw[0] != '/' {
		return "", ErrNoSlash
	}
	if isNormal(raw, merge) {
		return raw, nil
	}
	out := make([]byte, 0, len(raw))
	for i := 0; i <= len(raw); i++ {
		var ch byte
		end := i == len(raw)
		if !end {
			if ch = raw[i]; ch == '%' {
				if i+2 >= len(raw) {
					return "", ErrEscape
				}
				hi, lo := unhex(raw[i+1]), unhex(raw[i+2])
				if hi < 0 || lo < 0 {
					return "", ErrEscape
				}
				ch = byte(hi<<4 | lo)
				i += 2
			}
			if ch == 0 {
				return "", ErrNUL
			}
		}
		if !end && ch != '/' {
			out = append(out, ch)
			continue
		}
		// A segment ends here. It is the part of out after the last slash.
		lastSlash := bytes.LastIndexByte(out, '/')
		switch seg := string(out[lastSlash+1:]); {
		case seg == "." && lastSlash >= 0:
			out = out[:lastSlash+1]
			if end {
				return string(out), nil
			}
			continue // out already ends with the slash
		case seg == ".." && lastSlash >= 0:
			prevSlash := bytes.LastIndexByte(out[:lastSlash], '/')
			if prevSlash < 0 {
				return "", ErrAbove
			}
			out = out[:prevSlash+1]
			if end {
				return string(out), nil
			}
			continue
		}
		if end {
			break
		}
		if merge && len(out) > 0 && out[len(out)-1] == '/' {
			continue
		}
		out = append(out, '/')
	}
	return string(out), nil
}

// isNormal reports whether a path is surely in its normal form.
func isNormal(raw string, merge bool) bool {
	for i := range len(raw) {
		switch raw[i] {
		case '%', 0:
			return false
		case '/':
			if i+1 < len(raw) && (raw[i+1] == '.' || merge && raw[i+1] == '/') {
				return false // not sure: the slow path decides
			}
		}
	}
	return true
}

// unhex returns the value of a hexadecimal digit, or -1.
func unhex(b byte) int {
	switch {
	case '0' <= b && b <= '9':
		return int(b - '0')
	case 'a' <= b && b <= 'f':
		return int(b-'a') + 10
	case 'A' <= b && b <= 'F':
		return int(b-'A') + 10
	}
	return -1
}

// Rewrite replaces prefix, the path of the location, by uri, as proxy_pass with a URI does. path is normalized and begins
// with prefix.
func Rewrite(path, prefix, uri string) string { return uri + strings.TrimPrefix(path, prefix) }

// Escape percent-encodes a normalized path for a request line or another URI reference: bytes that RFC 3986 doesn't allow in a
// path, and '%', '?' and '#', which have a meaning of their own there.
func Escape(path string) string { return escapeAllBut(&allowedInPath, path) }

// EscapeInField percent-encodes a normalized path for a header field (RFC 9110, section 5.5): control bytes, and '%', so that decoding
// yields the path. A space at the end is encoded too, because recipients trim it.
func EscapeInField(path string) string {
	if before, ok := strings.CutSuffix(path, " "); ok {
		return escapeAllBut(&allowedInField, before) + "%20"
	}
	return escapeAllBut(&allowedInField, path)
}

// escapeAllBut percent-encodes the bytes of a path that are not in a set.
func escapeAllBut(allowed *[256]bool, path string) string {
	n := 0
	for i := range len(path) {
		if !allowed[path[i]] {
			n++
		}
	}
	if n == 0 {
		return path
	}
	const hex = "0123456789ABCDEF"
	out := make([]byte, 0, len(path)+2*n)
	for i := range len(path) {
		if b := path[i]; allowed[b] {
			out = append(out, b)
		} else {
			out = append(out, '%', hex[b>>4], hex[b&15])
		}
	}
	return string(out)
}

// allowedInField is the set of bytes that need no encoding in a header field: all but control bytes and '%'.
var allowedInField = func() (set [256]bool) {
	for b := range set {
		set[b] = b >= ' ' && b != 0x7f && b != '%'
	}
	return set
}()

// allowedInPath is the set of bytes that need no encoding in a path (RFC 3986, section 3.3): unreserved, sub-delims, ':', '@', '/'.
var allowedInPath = func() (set [256]bool) {
	for _, b := range []byte("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~!$&'()*+,;=:@/") {
		set[b] = true
	}
	return set
}()
