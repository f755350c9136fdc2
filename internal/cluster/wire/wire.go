// Package wire has the messages that the processes of a fleet send each other, and turns them into those of the pure packages and back.
// This file has the envelope: what is not ours is told apart before anything of it is believed.
//
// cluster.pb.go is generated and committed; go generate needs protoc (Debian: protobuf-compiler) and
// protoc-gen-go (go install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12).
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative cluster.proto

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// Version is that of the envelope. One that is higher is not read: what it says may mean something else.
const Version = 1

// Bounds of what is read, in bytes: a datagram goes in one frame of every network; a stream's Packet is a full exchange of some
// thousand members at the most.
const (
	DatagramMost = 1200
	StreamMost   = 4 << 20
)

// What makes a Packet none of ours.
var (
	ErrGarbage = errors.New("not a packet")
	ErrTooLong = errors.New("too long")
	ErrTooNew  = errors.New("of a later version")
	ErrForeign = errors.New("of another cluster")
)

// Number stands for a cluster's name on the wire.
func Number(cluster string) uint64 { return xxhash.Sum64String(cluster) }

// Encode words a Packet for a cluster.
func Encode(cluster uint64, p *Packet) ([]byte, error) {
	p.Cluster, p.Version = cluster, Version
	return proto.Marshal(p)
}

// Decode reads a Packet of a cluster. Its errors are those above.
func Decode(cluster uint64, b []byte) (*Packet, error) {
	p := &Packet{}
	if crowded(b) || proto.Unmarshal(b, p) != nil || p.Version == 0 {
		return nil, ErrGarbage
	}
	switch {
	case p.Cluster != cluster:
		return nil, ErrForeign
	case p.Version > Version:
		return nil, ErrTooNew
	}
	return p, nil
}

// partsMost bounds what one Packet holds, in fields: two bytes of an empty one take a hundred in memory.
const partsMost = 2*wordsMost + 64

// Numbers of the fields of a Packet that hold lists.
const (
	probeField   = 4
	marksField   = 7 // and what is between them
	membersField = 10
	levelsField  = 20 // whose parts hold lists too
)

// crowded tells that bytes are no Packet, or would take far more memory than they are long.
func crowded(b []byte) bool {
	parts := 0
	for len(b) > 0 {
		num, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return true
		}
		b = b[n:]
		if n = protowire.ConsumeFieldValue(num, kind, b); n < 0 {
			return true
		}
		var inner []byte
		if kind == protowire.BytesType && (num >= probeField && num <= marksField || num == membersField || num == levelsField) { // all that holds lists
			inner, _ = protowire.ConsumeBytes(b)
		}
		b = b[n:]
		for len(inner) > 0 {
			n := consumed(inner)
			if parts++; num == levelsField && n > 0 {
				parts += held(inner[:n])
			}
			if n < 0 || parts > partsMost {
				return true
			}
			inner = inner[n:]
		}
	}
	return false
}

// held is how many fields a field has in it.
func held(b []byte) (parts int) {
	_, kind, n := protowire.ConsumeTag(b)
	if kind != protowire.BytesType {
		return 0
	}
	in, _ := protowire.ConsumeBytes(b[n:])
	for len(in) > 0 {
		n := consumed(in)
		if n < 0 {
			break // Unmarshal tells
		}
		parts, in = parts+1, in[n:]
	}
	return parts
}

// consumed is the length of the first field; below 0: it is none.
func consumed(b []byte) int {
	_, _, n := protowire.ConsumeField(b)
	return n
}

// WriteFrame writes a Packet's bytes on a stream.
func WriteFrame(w io.Writer, b []byte) error {
	if len(b) > StreamMost {
		return fmt.Errorf("%w: %d bytes: %d at the most", ErrTooLong, len(b), StreamMost)
	}
	_, err := w.Write(append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(b)), uint32(len(b))), b...))
	return err
}

// ReadFrame reads a Packet's bytes from a stream. It takes no more memory than has come.
func ReadFrame(r io.Reader) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := int64(binary.BigEndian.Uint32(head[:]))
	if n > StreamMost {
		return nil, ErrTooLong
	}
	b, err := io.ReadAll(io.LimitReader(r, n))
	if err == nil && int64(len(b)) < n {
		err = io.ErrUnexpectedEOF
	}
	return b, err
}
