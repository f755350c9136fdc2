package httpfront

import (
	"regexp"
	"testing"
)

// Guards against a line of the access log that a client or a list of backends forges: whatever byte a text has, an entry is one line,
// and each of its fields stands where it belongs.
func TestAccessLogEntryIsOneLine(t *testing.T) {
	line := regexp.MustCompile(`^::1 - - \[[^]]+\] "[^"\n]+ HTTP/1\.1" 200 0 "[^"\n]*" "[^"\n]*" pool=[^ \n]+ box=[^ \n]+ attempts=0 time=[0-9.]+ end=served\n$`)
	for b := range 256 {
		text := "a" + string([]byte{byte(b)}) + `end=failed`
		e := entry{remote: "::1", method: text, uri: text, proto: "HTTP/1.1", referer: text, agent: text, status: 200, pool: text, box: text, end: "served"}
		if got := e.text(); !line.MatchString(got) {
			t.Errorf("%q: %q", text, got)
		}
	}
}
