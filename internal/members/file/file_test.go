package file

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	sources "glencart/internal/members"
	"glencart/internal/standin"
)

// A file that is replaced must be read again. A broken file changes nothing, and a removed file is a failure of the source.
func TestReplacedFileIsReadAgain(t *testing.T) {
	name := filepath.Join(t.TempDir(), "boxes.toml")
	put := func(text string) {
		if err := os.WriteFile(name+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(name+".new", name); err != nil {
			t.Fatal(err)
		}
	}
	put("[[box]]\naddress = \"10.0.0.1:80\"\n")
	updates := make(chan sources.Update, 16)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { New(name, standin.Quiet()).Run(ctx, func(x sources.Update) { updates <- x }); close(ended) }()
	defer func() { cancel(); <-ended }()
	if got := standin.Receive(t, "the first list", updates); len(got.Entries) != 1 || got.Entries[0].ID != "10.0.0.1:80" {
		t.Errorf("%+v", got)
	}
	put("[[box]]\naddress = \"10.0.0.1\"\n")
	put("revision = 7\n[[box]]\nid = \"a\"\naddress = \"10.0.0.2:80\"\nstate = \"draining\"\nstarted = 9\nbackup = true\n")
	got := standin.Receive(t, "the next list", updates)
	if e := got.Entries[0]; got.Revision != 7 || e.ID != "a" || e.Endpoint.Phase == 0 || e.Tier != 1 || e.Launched != 9e9 {
		t.Errorf("%+v", got)
	}
	os.Remove(name)
	if got := standin.Receive(t, "the failure", updates); !got.Failed {
		t.Errorf("%+v", got)
	}
	put("[[box]]\naddress = \"10.0.0.1:80\"\n")
	if got := standin.Receive(t, "the list after the failure", updates); len(got.Entries) != 1 {
		t.Errorf("%+v", got)
	}
}

// Errors must name the file, the line and the remedy, so that an operator finds the fault.
func TestErrorsNameFileLineAndRemedy(t *testing.T) {
	for text, want := range map[string]string{
		"[[box]]\naddress = \"x\"\n":                             `f:1: box.0: address: "x" is not an address with a port`,
		"[[box]]\naddress = \"x:1\"\nstate = \"down\"\n":         "none of ready, draining",
		"[[box]]\naddress = \"x:1\"\nweight = -1\n":              "weight",
		"[[box]]\naddress = \"x:1\"\n[[box]]\naddress = \"x:1\"": "is listed twice",
		"[[box]]\nadress = \"x:1\"\n":                            "adress",
		"box = 1":                                                "f:1",
	} {
		if _, err := Parse("f", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}

// FuzzRead checks that Parse does not panic.
func FuzzRead(f *testing.F) {
	f.Add([]byte("revision = 7\n[[box]]\nid = \"a\"\naddress = \"10.0.0.2:80\"\n"))
	f.Fuzz(func(t *testing.T, text []byte) { Parse("f", text) })
}
