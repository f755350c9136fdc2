package httpfront

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"testing"

	"glencart/route"
)

// drawPath returns a path below a prefix, of pieces that parsers treat in special ways.
func drawPath(rng *rand.Rand, prefix string) string {
	special := []string{"%0D%0A", "%25", "%2F..", "//", "?", "#", ";", "%3F", "%23", "%20", "\x80", "$uri", "${uri}", "%00", "|", "."}
	path := prefix
	for range rng.IntN(30) {
		if rng.IntN(3) == 0 {
			path += special[rng.IntN(len(special))]
		} else {
			path += fmt.Sprintf("%%%02x", rng.IntN(256))
		}
	}
	return path
}

// Guards against a path that is changed on its way, or that ends its field, in forms that nobody thought of: drawn targets reach the
// backend as sent, or are answered 4xx and reach none, and each expanded $uri decodes to the normalized path.
func TestDrawnPathsReachBackendAsSent(t *testing.T) {
	const seed, targets = 7, 4000
	backend := newRecorder(t)
	n := serve(t, variableSite, map[string]string{"menu": backend.addr})
	rng := rand.New(rand.NewPCG(seed, 0))
	keys := []string{"set", "upgrade", "host", "add", "text", "redirect"}
	answered := map[int]int{}
	for i := range targets {
		key := keys[i%len(keys)]
		target := drawPath(rng, "/"+key+"/")
		status, fields, _ := n.ask("GET " + target + " HTTP/1.1\r\nHost: shop.mn\r\nConnection: close, upgrade\r\nUpgrade: x\r\n\r\n")
		received := backend.take(t)
		answered[status]++
		if len(received) > 1 || status >= 400 && len(received) > 0 || len(received) == 1 && received[0].Target != target {
			t.Errorf("%q: answered %d, backend received %+v", target, status, received)
			continue
		}
		path, _, _ := strings.Cut(target, "?")
		normalized, err := route.Normalize(path, true)
		if err != nil && status != http.StatusBadRequest {
			t.Errorf("%q: %v, answered %d", target, err, status)
		}
		expanded := fields.Values("X-Path") // of the answer
		if len(received) == 1 {
			expanded = slices.Concat(expanded, received[0].Fields.Values("X-Path"))
		}
		for _, value := range expanded {
			if decoded, err := url.PathUnescape(value); err != nil || decoded != normalized {
				t.Errorf("%q: $uri is %q, which decodes to %q (%v), expected %q", target, value, decoded, err, normalized)
			}
		}
	}
	if answered[http.StatusOK] < targets/4 || answered[http.StatusBadRequest] < targets/20 {
		t.Errorf("too few of a kind: %v", answered)
	}
}
