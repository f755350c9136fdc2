package httpfront

import (
	"net/http"
	"net/netip"
	"strings"
)

// hopByHop are the headers that belong to one connection (RFC 9110, section 7.6.1), beside those that Connection names, and those that
// each message gets anew.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Host"}

// strip takes the headers of one connection out.
func strip(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}

// upgrades returns the protocol that a request asks to change to, "" if none (RFC 9110, 7.8).
func upgrades(h http.Header) string {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(name), "upgrade") {
				return h.Get("Upgrade")
			}
		}
	}
	return ""
}

// forward sets the headers that describe the client to backends. Those that came with the request are kept, and added to, only if the
// client is in a trusted network. Otherwise a client could claim any address.
func (v *variables) forward(h http.Header, trusted []netip.Prefix) {
	believed := false
	for _, n := range trusted {
		believed = believed || !n.IsValid() || n.Contains(v.remote)
	}
	if !believed {
		for _, name := range []string{"X-Forwarded-For", "X-Forwarded-Proto", "X-Forwarded-Host", "X-Forwarded-Port", "X-Real-Ip", "Forwarded"} {
			delete(h, name)
		}
	}
	join := func(name, value string) {
		if was := strings.Join(h[name], ", "); was != "" {
			value = was + ", " + value
		}
		h[name] = []string{value}
	}
	join("X-Forwarded-For", v.remote.String())
	node := v.remote.String()
	if v.remote.Is6() {
		node = `"[` + node + `]"`
	}
	join("Forwarded", "for="+node+";host="+forwardedHost(v.hr.Host)+";proto="+v.scheme) // RFC 7239
	if h.Get("X-Forwarded-Proto") == "" {
		h["X-Forwarded-Proto"] = []string{v.scheme}
	}
	if h.Get("X-Forwarded-Host") == "" {
		h["X-Forwarded-Host"] = []string{v.hr.Host}
	}
}

func forwardedHost(host string) string {
	if strings.IndexFunc(host, func(r rune) bool {
		return !(r == '.' || r == '-' || r == '_' || '0' <= r && r <= '9' || 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z')
	}) >= 0 {
		return `"` + strings.NewReplacer(`"`, "", `\`, "").Replace(host) + `"`
	}
	return host
}
