package httpfront

import (
	"net"
	"net/http"
	"net/netip"
	"strings"

	"glencart/internal/site"
	"glencart/route"
)

// variables are the values of a request's variables. The decoded path, $uri, is the only one that can contain bytes that a header field
// can't: all others are parts of a head that net/http has read and checked.
type variables struct {
	hr     *http.Request
	remote netip.Addr
	scheme string
	port   string
	uri    string // normalized path, decoded
}

// pathEncoding encodes a decoded path for the place at which a variable is expanded, so that it ends no field and can be decoded.
type pathEncoding func(path string) string

// Encodings of a path.
var (
	inField     pathEncoding = route.EscapeInField // in a header field, or a text
	inReference pathEncoding = route.Escape        // in a URI reference
)

// apply sets and deletes headers of a request as a route configures them.
func (v *variables) apply(h http.Header, list []site.Header) {
	for _, x := range list {
		if value := v.expand(x.Value, inField); value == "" {
			h.Del(x.Name)
		} else {
			h[http.CanonicalHeaderKey(x.Name)] = []string{value}
		}
	}
}

// expand replaces the variables in a text by their values.
func (v *variables) expand(text string, encode pathEncoding) string {
	if !strings.Contains(text, "$") {
		return text
	}
	var b strings.Builder
	for text != "" {
		i := strings.IndexByte(text, '$')
		if i < 0 {
			break
		}
		b.WriteString(text[:i])
		text = text[i+1:]
		braced := strings.HasPrefix(text, "{")
		text = strings.TrimPrefix(text, "{")
		n := 0
		for n < len(text) && (text[n] == '_' || 'a' <= text[n] && text[n] <= 'z' || 'A' <= text[n] && text[n] <= 'Z' || '0' <= text[n] && text[n] <= '9') {
			n++
		}
		b.WriteString(v.value(text[:n], encode))
		if text = text[n:]; braced {
			text = strings.TrimPrefix(text, "}")
		}
	}
	return b.String() + text
}

// value returns the value of a variable, and nothing for an unknown one.
func (v *variables) value(name string, encode pathEncoding) string {
	switch name {
	case "host":
		host := strings.ToLower(v.hr.Host)
		if h, _, err := net.SplitHostPort(host); err == nil {
			host = h
		}
		return host
	case "http_host":
		return v.hr.Host
	case "remote_addr":
		return v.remote.String()
	case "scheme":
		return v.scheme
	case "request_uri":
		return v.hr.RequestURI
	case "uri":
		return encode(v.uri)
	case "server_port":
		return v.port
	case "request_method":
		return v.hr.Method
	case "args", "query_string":
		return v.hr.URL.RawQuery
	case "is_args":
		if v.hr.URL.RawQuery != "" {
			return "?"
		}
		return ""
	case "proxy_add_x_forwarded_for":
		if was := strings.Join(v.hr.Header["X-Forwarded-For"], ", "); was != "" {
			return was + ", " + v.remote.String()
		}
		return v.remote.String()
	}
	if rest, ok := strings.CutPrefix(name, "http_"); ok {
		return v.hr.Header.Get(strings.ReplaceAll(rest, "_", "-"))
	}
	return ""
}
