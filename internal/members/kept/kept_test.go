package kept

import (
	"os"
	"strings"
	"testing"
	"time"
)

// A cached list must be read back as it was written. A damaged one, and one of another version or another pool, must be rejected
// with an error.
func TestReadRejectsBadFiles(t *testing.T) {
	dir := t.TempDir()
	if l, err := Read(dir, "menu/1"); l != nil || err != nil {
		t.Errorf("none: %v, %v", l, err)
	}
	l := List{Pool: "menu/1", SavedAt: time.Unix(5, 0), Backends: []Backend{{ID: "a", HasID: true, Address: "10.0.0.1:80", Weight: 2, Draining: true},
		{ID: "b", Address: "10.0.0.2:80"}}}
	if err := Write(dir, l); err != nil {
		t.Fatal(err)
	}
	got, err := Read(dir, "menu/1")
	if err != nil || len(got.Backends) != 2 || !got.SavedAt.Equal(l.SavedAt) {
		t.Fatalf("%+v, %v", got, err)
	}
	if e := got.Entries(7); e[0].ID != "a" || e[0].Endpoint.Phase == 0 || e[0].ExpiresAt != 7 || e[1].ID != "" || e[1].Member.Weight != 1 {
		t.Errorf("%+v", e)
	}
	name := Path(dir, "menu/1")
	whole, _ := os.ReadFile(name)
	for what, text := range map[string]string{
		"damaged": strings.Replace(string(whole), "10.0.0.1", "10.0.0.9", 1), "cut": string(whole[:len(whole)/2]),
		"version": strings.Replace(string(whole), `"version":1`, `"version":2`, 1),
	} {
		os.WriteFile(name, []byte(text), 0o600)
		if l, err := Read(dir, "menu/1"); l != nil || err == nil {
			t.Errorf("%s: %v, %v", what, l, err)
		}
	}
	os.WriteFile(Path(dir, "other"), whole, 0o600)
	if l, err := Read(dir, "other"); l != nil || err == nil {
		t.Errorf("another pool's: %v, %v", l, err)
	}
}
