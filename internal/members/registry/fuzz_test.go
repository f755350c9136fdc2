package registry

import (
	"testing"

	"glencart/balance"
	"glencart/internal/settings"
	"glencart/internal/standin"
)

// FuzzParse checks that a list is accepted as a whole or not at all, and that each member of a list has an id.
func FuzzParse(f *testing.F) {
	names, err := settings.Parse([]byte(testSettings))
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte(standin.ListText(1, true, standin.Listed{ID: "s", Addr: "127.0.0.1:1", Phase: "ready", Up: 5})))
	f.Add([]byte(`{"revision":1,"members":[{"id":"s","phase":"gone"}]}`))
	f.Add([]byte(`{"revision":null}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		list, err := Parse(text, names)
		if err != nil && len(list.Members) > 0 {
			t.Error("a rejected list has members")
		}
		for _, m := range list.Members {
			if m.ID == "" || m.Addr == "" && m.Phase != balance.Gone || m.Launched < 0 {
				t.Errorf("%+v", m)
			}
		}
	})
}
