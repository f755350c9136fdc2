package registry

import (
	"io"
	"net"
	"testing"
	"time"

	"glencart/internal/standin"
)

// The arrival of an answer must never count later than it was: a list that was replaced since would count as confirmed. If it is unknown,
// the beginning of the call counts.
func TestUnknownArrivalIsNotNow(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	record := newCallRecord(1, true, 0)
	record.beganAt = time.Now().Add(-time.Second)
	if !record.writtenAt().Equal(record.beganAt) {
		t.Error("without a connection: not the beginning of the call")
	}
	record.conn.Store(&conn)
	conn.Close()
	record.noteArrival()
	if !record.writtenAt().Equal(record.beganAt) {
		t.Errorf("closed connection: %v after the beginning of the call", record.writtenAt().Sub(record.beganAt))
	}
}

// A node that had not run did not see the answers that its sockets held, and took its agent for silent.
func TestUnreadAnswerIsSeen(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	near, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()

	record := newCallRecord(1, true, 0)
	if record.hasUnreadAnswer() {
		t.Error("an answer before there is a connection")
	}
	record.conn.Store(&near)
	if record.hasUnreadAnswer() {
		t.Error("an answer before it was written")
	}
	io.WriteString(far, "x")
	standin.Eventually(t, "the answer in the socket", record.hasUnreadAnswer)
	io.ReadFull(near, make([]byte, 1))
	if record.hasUnreadAnswer() {
		t.Error("an answer after it was read")
	}
	record.beganAt = time.Now().Add(-time.Second)
	record.answered.Store(int64(time.Second - processingTime/2))
	if !record.hasUnreadAnswer() {
		t.Error("no answer just after its first byte was read")
	}
	record.answered.Store(int64(time.Second - 2*processingTime))
	if record.hasUnreadAnswer() {
		t.Error("an answer long after its first byte was read")
	}
	record.isUnhandled.Store(true) // the loop has not come to it, however long that takes
	if !record.hasUnreadAnswer() {
		t.Error("no answer, although one waits to be handled")
	}
}
