package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const carried = "server { listen 8099; location / { proxy_pass http://127.0.0.1:9001; } }\n"

// Exit codes, what is written and what is not, and where the words go.
func TestVerbs(t *testing.T) {
	for _, c := range []struct {
		name, conf, args string
		code             int
		written          bool
		says             string
	}{
		{"all carried", carried, "import nginx {conf} -o {out}", 0, true, "site.toml written"},
		{"differences", "least_conn;\n" + carried, "import nginx {conf} -o {out}", 3, true, "not carried: 1"},
		{"unsafe", strings.Replace(carried, "proxy_pass", "proxy_next_upstream non_idempotent; proxy_pass", 1), "import nginx {conf} -o {out}", 4, false, "nginx.conf:1: proxy_next_upstream non_idempotent"},
		{"unsafe, accepted", strings.Replace(carried, "proxy_pass", "proxy_next_upstream non_idempotent; proxy_pass", 1), "import nginx {conf} -o {out} --accept-unsafe proxy_next_upstream", 4, true, "(accepted)"},
		{"unsafe, another accepted", strings.Replace(carried, "proxy_pass", "auth_basic x; proxy_pass", 1), "import nginx {conf} -o {out} --accept-unsafe auth_request", 4, false, "auth_basic"},
		{"an old nginx", strings.Replace(carried, "proxy_pass", "proxy_next_upstream error; proxy_pass", 1), "import nginx {conf} -o {out} --nginx-version 1.8.0", 4, false, "resends every method"},
		{"bad input", "server { listen 80 }", "import nginx {conf} -o {out}", 2, false, "a \";\" is missing"},
		{"no file", "", "import nginx {conf}.none -o {out}", 2, false, "no such file"},
		{"check", carried, "check {dir}/good.toml", 0, false, "good: 1 listeners, 1 servers, 1 routes, 1 pools, 1 boxes"},
		{"check, an error", carried, "check {dir}/bad.toml", 2, false, "bad.toml:1: lisener: no such key"},
		{"serve, an error", carried, "serve {dir}/bad.toml", 2, false, "bad.toml:1: lisener: no such key"},
		{"route", carried, "route {dir}/good.toml http://shop/menu -m post", 0, false, "pool p, class by method"},
		{"route, elsewhere", carried, "route {dir}/good.toml http://shop/../x", 2, false, "above the root"},
		{"lab list", carried, "lab list", 0, false, "policies: glencart, round-robin"},
		{"lab run, no such scenario", carried, "lab run nowhere", 2, false, "is not in the library"},
		{"lab run, no such policy", carried, "lab run calm --policies glencrat", 2, false, "policy \"glencrat\": none of all, glencart"},
		{"lab run", carried, "lab run small-work --seeds 1 --policies random --load 0.01 --json -", 0, false, "\"scenario\":\"small-work\",\"policy\":\"random\""},
		{"no such verb", carried, "sevre x", 2, false, "sevre"},
		{"help", carried, "--help", 0, false, "no request lost, no effect twice"},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			conf, out := filepath.Join(dir, "nginx.conf"), filepath.Join(dir, "site.toml")
			for name, text := range map[string]string{conf: c.conf, filepath.Join(dir, "bad.toml"): "[[lisener]]\n",
				filepath.Join(dir, "good.toml"): "[[listener]]\nname=\"w\"\naddress=\":0\"\n[[pool]]\nname=\"p\"\nboxes=[{address=\"h:1\"}]\n[[server]]\n[[server.location]]\npath=\"/\"\n[[server.location.route]]\npool=\"p\"\n"} {
				if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			args := strings.Fields(strings.NewReplacer("{conf}", conf, "{out}", out, "{dir}", dir).Replace(c.args))
			var said bytes.Buffer
			if code := Main(args, &said, &said); code != c.code {
				t.Errorf("exit %d, want %d", code, c.code)
			}
			if !strings.Contains(said.String(), c.says) {
				t.Errorf("says %s\nwant %s", said.String(), c.says)
			}
			if _, err := os.Stat(out); (err == nil) != c.written {
				t.Errorf("written: %t", err == nil)
			}
		})
	}
}

// Two files are compared, and the exit code says whether anything is to be looked at.
func TestDiff(t *testing.T) {
	dir := t.TempDir()
	write := func(name, pool string) string {
		text := "[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n[[pool]]\nname = \"a\"\nboxes = [{ address = \"10.0.0.1:80\" }]\n" +
			"[[pool]]\nname = \"b\"\nboxes = [{ address = \"10.0.0.2:80\" }]\n[[server]]\n[[server.location]]\npath = \"/\"\n[[server.location.route]]\n" + pool + "\n"
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	old := write("old.toml", `pool = "a"`)
	for _, c := range []struct {
		now, says string
		code      int
	}{
		{old, "", 0}, {write("other.toml", `pool = "b"`), "pool a → pool b", ExitDifferences},
		{write("none.toml", "methods = [\"GET\"]\npool = \"a\""), "[these requests are turned away]", ExitUnsafe},
		{write("bad.toml", `pool = "c"`), "bad.toml:", ExitBadInput},
	} {
		var said bytes.Buffer
		if code := Main([]string{"diff", old, c.now}, &said, &said); code != c.code || !strings.Contains(said.String(), c.says) {
			t.Errorf("%s: exit %d, want %d: %s", c.now, code, c.code, said.String())
		}
	}
}

// The demo at five times its speed: no rule is broken, and every part of it shows.
func TestDemo(t *testing.T) {
	var said bytes.Buffer
	if code := Main([]string{"demo", "--speed", "5"}, &said, &said); code != 0 {
		t.Errorf("exit %d", code)
	}
	for _, part := range []string{"a drains", "d is new and cold", "b crashes", "flood", "no effect twice"} {
		if !strings.Contains(said.String(), part) {
			t.Errorf("nothing of %q in\n%s", part, said.String())
		}
	}
	if strings.Contains(said.String(), "BROKEN") {
		t.Error(said.String())
	}
}
