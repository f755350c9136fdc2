// Case 2: a path with encoded line ends, at a route that sets a header from $uri. See claim.txt.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"glencart/review/kit"
)

func main() { kit.Main(run) }

const site = `[node]
name = "shop-1"

[[listener]]
name = "web"
address = %q

[[pool]]
name = "menu"
boxes = [ { id = "menu-1", address = %q } ]

[[server]]
default = true

  [[server.location]]
  path = "/"

    [[server.location.route]]
    pool = "menu"
    set = [ { name = "X-Original-Path", value = "$uri" } ]

  [[server.location]]
  path = "/kitchen/"
  allow = ["127.0.0.2/32"]
  deny = ["all"]

    [[server.location.route]]
    pool = "menu"
`

// box is a sound HTTP/1.1 server. Work in the kitchen takes a while.
type box struct {
	mu  sync.Mutex
	got []string
}

func (b *box) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	line := hr.Method + " " + hr.RequestURI
	b.mu.Lock()
	b.got = append(b.got, line)
	b.mu.Unlock()
	if strings.HasPrefix(hr.URL.Path, "/kitchen/") {
		time.Sleep(700 * time.Millisecond)
	}
	fmt.Fprintf(w, "answer to %s", line)
}

func run(r *kit.Run) bool {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.Fatalf("%v", err)
	}
	b := &box{}
	go http.Serve(l, b)
	web := r.Addr()
	p := r.Start("shop-1", nil, "serve", r.Write("site.toml", fmt.Sprintf(site, web, l.Addr())))
	r.Await("serve accepts", 10*time.Second, func() bool { return kit.Accepts(web) })

	sent := map[string]bool{}
	wrong := 0
	// ask sends one request on a connection of its own and checks that the answer is to it.
	ask := func(method, target string, reaches bool) {
		line := method + " " + target
		if reaches {
			sent[line] = true
		}
		c, err := net.Dial("tcp", web)
		if err != nil {
			r.Fatalf("%v", err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(10 * time.Second))
		r.Logf("a client sends %q", line)
		fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: khuree.mn\r\n\r\n", line)
		resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
		if err != nil {
			r.Logf("no answer: %v", err)
			return
		}
		text, _ := io.ReadAll(resp.Body)
		r.Logf("answered %d %q", resp.StatusCode, text)
		if resp.StatusCode == 200 && string(text) != "answer to "+line {
			r.Logf("this is the answer to another request")
			wrong++
		}
	}

	ask("POST", "/kitchen/close", false) // denied: not sent anywhere
	lineEnd := "%20"
	if r.Trouble {
		lineEnd = "%0D%0A"
	}
	note := strings.Join([]string{"/notes/no-onions", "", "POST%20/kitchen/close%20HTTP/1.1", "Host:%20khuree.mn", "X-Note:%20end"}, lineEnd)
	ask("GET", note, true)
	time.Sleep(300 * time.Millisecond)
	ask("GET", "/menu/today", true) // somebody else
	time.Sleep(time.Second)
	p.DumpLog()

	b.mu.Lock()
	defer b.mu.Unlock()
	foreign := 0
	for _, line := range b.got {
		r.Logf("the box got %q, sent by a client: %v", line, sent[line])
		if !sent[line] {
			foreign++
		}
	}
	r.Logf("%d requests at the box that no client sent, %d answers to another's request", foreign, wrong)
	return foreign > 0 || wrong > 0
}
