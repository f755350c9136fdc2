package upstream

import (
	"bufio"
	"io"
	"net"
	"testing"

	"glencart/internal/standin"
)

// pair returns both ends of a connection.
func pair(t *testing.T) (near, far net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if near, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if far, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}

// Bytes on an idle connection would be read as the next answer. They must be noticed when they arrive.
func TestBytesAndEndAreNoticed(t *testing.T) {
	for name, event := range map[string]func(far net.Conn){
		"bytes": func(far net.Conn) { io.WriteString(far, "HTTP/1.1 200 OK\r\n") },
		"end":   func(far net.Conn) { far.Close() },
		"reset": func(far net.Conn) { standin.Reset(far) },
	} {
		t.Run(name, func(t *testing.T) {
			near, far := pair(t)
			noticed := make(chan struct{})
			w := startWatch(near, bufio.NewReader(near), func() { close(noticed) })
			event(far)
			standin.Receive(t, "the event", noticed)
			if w.hasBytes != (name == "bytes") {
				t.Errorf("bytes: %v", w.hasBytes)
			}
			if w.stop() {
				t.Error("stop reports that nothing has arrived")
			}
		})
	}
}

// A stopped watch must leave the connection as it was, with no byte lost and no deadline set.
func TestStoppedWatchLeavesConnectionUsable(t *testing.T) {
	near, far := pair(t)
	reader := bufio.NewReader(near)
	for range 100 {
		w := startWatch(near, reader, func() { t.Error("event on a silent connection") })
		if !w.stop() {
			t.Fatal("stop reports an event")
		}
		io.WriteString(far, "a")
		if b, err := reader.ReadByte(); b != 'a' || err != nil {
			t.Fatalf("read %q, %v", b, err)
		}
	}
}
