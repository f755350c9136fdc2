package diff

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"glencart/internal/site"
)

const head = "[[listener]]\nname = \"web\"\naddress = \":80\"\n"

func parse(t testing.TB, text string) *site.Site {
	t.Helper()
	s, err := site.Parse("shop.toml", []byte(head+text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

const shop = `
[[class]]
name = "orders"
deadline = "2s"
[[pool]]
name = "menu"
boxes = [{ id = "a", address = "10.0.0.1:80" }, { id = "b", address = "10.0.0.2:80" }, { id = "c", address = "10.0.0.3:80" }]
[[pool]]
name = "till"
boxes = [{ address = "10.0.1.1:80" }]
[[server]]
names = ["shop.mn"]
[[server.location]]
path = "/menu"
[[server.location.route]]
pool = "menu"
[[server.location]]
path = "/orders"
allow = ["10.0.0.0/8"]
deny = ["all"]
[[server.location.route]]
methods = ["POST"]
pool = "till"
class = "orders"
`

// Each change of a file is told in words, with what may come of it; nothing else is.
func TestFiles(t *testing.T) {
	for _, c := range []struct{ what, from, to, want string }{
		{"nothing", "", "", ""},
		{"only spelled otherwise", `deadline = "2s"`, `deadline = "2000ms"`, ""},
		{"another pool", "pool = \"menu\"\n[[server.location]]", "pool = \"till\"\n[[server.location]]",
			"route GET shop.mn/menu: pool menu → pool till\nroute POST shop.mn/menu: pool menu → pool till"},
		{"another path", `path = "/menu"`, `path = "/card"`,
			"route GET shop.mn/card: 404 → pool menu\nroute POST shop.mn/card: 404 → pool menu\n" +
				"route GET shop.mn/menu: pool menu → 404  [these requests are turned away]\n" +
				"route POST shop.mn/menu: pool menu → 404  [these requests are turned away]"},
		{"a class that is safe now", `class = "orders"`, `class = "safe"`,
			"route POST shop.mn/orders: class orders (unsafe) → safe (safe)  [requests may be sent again that could not be: what runs twice must do no harm]"},
		{"an effect", `deadline = "2s"`, "deadline = \"1s\"\neffect = \"keyed\"\nwindow = \"9s\"",
			"class orders: effect unsafe → keyed  [requests may be sent again that could not be: what runs twice must do no harm]\n" +
				"class orders: window default → 9s\nclass orders: aim 200ms → 100ms\nclass orders: deadline 2s → 1s  [what takes longer fails from then on]"},
		{"who is let in", "deny = [\"all\"]\n", "", "route POST shop.mn/orders: deny [all] → default  [others are let in, or kept out]"},
		{"boxes", `{ id = "b", address = "10.0.0.2:80" }, { id = "c", address = "10.0.0.3:80" }`, `{ id = "b", address = "10.0.0.9:80", state = "draining" }`,
			"pool menu box b: address 10.0.0.2:80 → 10.0.0.9:80\npool menu box b: state ready → draining\npool menu: box c is gone\n" +
				"pool menu: 1 of 3 boxes at work stay  [what is left may be too little, and newcomers may be cold]"},
		{"a pool's settings", "name = \"till\"\n", "name = \"till\"\nattempts = 5\n",
			"pool till: attempts 3 → 5\npool till: starts anew, since its settings differ  [what is known of its boxes is learned anew]"},
		{"a method more", `methods = ["POST"]`, `methods = ["POST", "PUT"]`, "route PUT shop.mn/orders: 405 → pool till"},
	} {
		t.Run(c.what, func(t *testing.T) {
			now := strings.Replace(shop, c.from, c.to, 1)
			lines, err := Files(parse(t, shop), parse(t, now))
			if err != nil {
				t.Fatal(err)
			}
			var got []string
			for _, l := range lines {
				got = append(got, l.String())
			}
			if strings.Join(got, "\n") != c.want {
				t.Errorf("tells\n%s\nwant\n%s", strings.Join(got, "\n"), c.want)
			}
		})
	}
}

// On files drawn at random and changed at random: where any of many requests goes elsewhere, a difference of routes is told; where
// the texts are one, none is.
func TestNoDifferenceIsPassedOver(t *testing.T) {
	hosts := []string{"shop.mn", "*.shop.mn", "till.mn", ".old.mn", "~^v[0-9]+[.]mn$"}
	paths := [][2]string{{"", "/"}, {"prefix", "/menu"}, {"prefix", "/menu/"}, {"stop", "/menu/hot"}, {"exact", "/menu"}, {"regex", "[.]png$"},
		{"regex-fold", "^/api/v[12]/x"}, {"prefix", "/orders"}}
	asked := []string{"/", "/menu", "/menu/", "/menu/hot/1", "/menux", "/orders/7", "/a.png", "/menu/hot/a.png", "/API/v2/xy", "/orders", "/zz9"}
	differ := 0
	for seed := range uint64(400) {
		r := rand.New(rand.NewPCG(seed, 9))
		var text strings.Builder
		text.WriteString("[[pool]]\nname = \"a\"\nboxes = [{ address = \"10.0.0.1:80\" }]\n[[pool]]\nname = \"b\"\nboxes = [{ address = \"10.0.0.2:80\" }]\n")
		perm := r.Perm(len(hosts))
		for i := range 1 + r.IntN(3) {
			fmt.Fprintf(&text, "[[server]]\nnames = [%q]\n", hosts[perm[i]])
			if i == 0 && r.IntN(2) == 0 {
				text.WriteString("default = true\n")
			}
			for _, k := range r.Perm(len(paths))[:1+r.IntN(5)] {
				fmt.Fprintf(&text, "[[server.location]]\nmatch = %q\npath = %q\n[[server.location.route]]\n", or(paths[k][0], "prefix"), paths[k][1])
				if r.IntN(4) == 0 {
					text.WriteString("methods = [\"PUT\"]\n")
				}
				fmt.Fprintf(&text, "pool = %q\n", []string{"a", "b"}[r.IntN(2)])
			}
		}
		lines := strings.Split(text.String(), "\n")
		k := r.IntN(len(lines))
		for swap := map[string]string{`pool = "a"`: `pool = "b"`, `pool = "b"`: `pool = "a"`, `methods = ["PUT"]`: "", `path = "/menu/"`: `path = "/menu/hot/"`,
			`path = "/orders"`: `path = "/order"`, `match = "stop"`: `match = "prefix"`, `default = true`: "", `names = ["shop.mn"]`: `names = ["www.shop.mn"]`}; ; k = (k + 1) % len(lines) {
			if to, ok := swap[lines[k]]; ok {
				lines[k] = to
				break
			}
		}
		old, err := site.Parse("old.toml", []byte(head+text.String()))
		now, err2 := site.Parse("new.toml", []byte(head+strings.Join(lines, "\n")))
		if err != nil || err2 != nil {
			continue // two locations have become one
		}
		if same, err := Files(old, old); err != nil || len(same) > 0 {
			t.Fatalf("seed %d: a file differs from itself: %v, %v", seed, same, err)
		}
		got, err := Files(old, now)
		if err != nil {
			t.Fatal(err)
		}
		told := 0
		for _, l := range got {
			if l.About == "route" {
				told++
			}
		}
		a, _ := ask(old)
		b, _ := ask(now)
		for _, h := range []string{"shop.mn", "www.shop.mn", "x.shop.mn", "till.mn", "old.mn", "q.old.mn", "v12.mn", "nobody.mn"} {
			for _, p := range asked {
				for _, m := range []string{"GET", "POST", "PUT"} {
					x, _ := a.find("web", h, p, m)
					y, _ := b.find("web", h, p, m)
					if x.where != y.where || x.class != y.class {
						if differ++; told == 0 {
							t.Fatalf("seed %d: %s %s%s goes to %s, then to %s, and nothing is told: %v\n%s", seed, m, h, p, x.where, y.where, got, strings.Join(lines, "\n"))
						}
					}
				}
			}
		}
	}
	if differ < 1000 {
		t.Errorf("only %d requests went elsewhere", differ)
	}
}

func or(a, b string) string {
	if a == "" {
		return b
	}
	return a
}
