// Package confsync distributes configuration as incremental changes. An origin publishes changes of resources, each a new
// revision; relays and nodes hold the last good revision and are brought from it to a later one by deltas, as in etcd's
// watches or incremental xDS. A delta is applied whole or not at all, in time proportional to what it changes.
//
// The package is pure: events and time in, messages out. It has no clock, no goroutine and no I/O, and the same events
// give the same messages. Messages may be lost, repeated and reordered. docs/design/0013-confsync.md has the contract.
package confsync

import (
	"cmp"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protowire"
)

// Kind says what a resource is.
type Kind uint8

// Kinds of resources.
const (
	Zone Kind = iota + 1
	Pool
	Endpoint
	Route
	Tenant
)

func (k Kind) String() string {
	names := [...]string{"resource", "zone", "pool", "endpoint", "route", "tenant"}
	if int(k) < len(names) {
		return names[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Key names a resource.
type Key struct {
	Kind Kind
	Name string
}

func (k Key) String() string { return fmt.Sprintf("%s %q", k.Kind, k.Name) }

// Change is a resource as of a revision. Value and Refs are never written to once they are in a Change.
type Change struct {
	Key     Key
	Version uint64 // the revision that made it so
	Removed bool
	Value   []byte
	Refs    []Key // resources that have to exist as long as this one does
}

// Field numbers of a Change on the wire.
const (
	fieldKind, fieldName, fieldVersion, fieldRemoved, fieldValue, fieldRefs = 1, 2, 3, 4, 5, 6
)

// Size is the length of a change as a protobuf message, in bytes.
func (c *Change) Size() int {
	n := protowire.SizeTag(fieldKind) + 1
	n += protowire.SizeTag(fieldName) + protowire.SizeBytes(len(c.Key.Name))
	n += protowire.SizeTag(fieldVersion) + protowire.SizeVarint(c.Version)
	if c.Removed {
		return n + protowire.SizeTag(fieldRemoved) + 1
	}
	n += protowire.SizeTag(fieldValue) + protowire.SizeBytes(len(c.Value))
	for _, r := range c.Refs {
		n += protowire.SizeTag(fieldRefs) + protowire.SizeBytes(len(r.Name)+2)
	}
	return n
}

// sum is a resource's part of a digest. Sums are added up, so that a digest follows a change in the time of the change.
func sum(k Key, version uint64) uint64 {
	var d xxhash.Digest
	d.Reset()
	var head [9]byte
	head[0] = byte(k.Kind)
	for i := range 8 {
		head[i+1] = byte(version >> (8 * i))
	}
	d.Write(head[:])
	d.WriteString(k.Name)
	return d.Sum64()
}

// Delta brings a store from one revision to another.
type Delta struct {
	From, To uint64
	Full     bool     // it holds all there is at To, and From does not count
	Changes  []Change // by version, one a key
	Digest   uint64   // of all resources at To
}

// Reason says why a delta is refused.
type Reason uint8

// Reasons of a Rejection.
const (
	Gap            Reason = iota + 1 // the delta does not begin where the store is
	Stale                            // the store is there already
	OldVersion                       // a change is no newer than what is held, beyond the delta's end, or not in order
	UnknownRemoval                   // what is removed is not held
	MissingRef                       // a resource refers to one that is not there
	StillReferred                    // what is removed is referred to
	Cycle                            // resources refer to each other in a circle
	TooLarge                         // a change is beyond its size, or a delta beyond what may be held of one
	Twice                            // a key stands twice
	Drift                            // the digest differs: what is held is not what the publisher takes it for
	Local                            // this node's own check refuses it
)

func (r Reason) String() string {
	names := [...]string{"", "gap", "stale", "old version", "removal of what is unknown", "missing reference", "still referred to",
		"cycle of references", "too large", "twice in a delta", "digest differs", "refused by this node"}
	return names[min(int(r), len(names)-1)]
}

// Rejection says what of a delta is wrong. Nothing of the delta is applied.
type Rejection struct {
	Key     Key
	Version uint64
	Reason  Reason
	Detail  string
}

func (r *Rejection) Error() string {
	text := fmt.Sprintf("%s at revision %d: %s", r.Key, r.Version, r.Reason)
	if r.Detail != "" {
		text += ": " + r.Detail
	}
	return text
}

// MessageKind says what a message is.
type MessageKind uint8

// Kinds of messages.
const (
	Subscribe MessageKind = iota + 1 // to a publisher: Revision, Digest, Whole
	Update                           // to a subscriber: Delta, Part, Parts; a delta may come in parts
	Resume                           // to a publisher: of the delta to Revision Part is missing
	Ack                              // to a publisher: Revision is in force; also the answer to a Keepalive
	Reject                           // to a publisher: Revision was refused, with Rejection
	Keepalive                        // to a subscriber: Revision and Digest of the publisher
)

// Message is what publishers and subscribers send each other.
type Message struct {
	Kind        MessageKind
	Revision    uint64
	Digest      uint64
	Whole       bool // Subscribe: what is held counts for nothing
	Delta       Delta
	Part, Parts int // Update, Resume: from 0
	Rejection   *Rejection
}

// messageHead is the length of a message but for its changes: kind, three revisions, a digest, two counts, with their tags.
const messageHead = 2 + 3*7 + 9 + 2*3

// Size is the length of a message, in bytes.
func (m *Message) Size() int {
	n := messageHead
	for i := range m.Delta.Changes {
		n += protowire.SizeBytes(m.Delta.Changes[i].Size()) + 1
	}
	if m.Rejection != nil {
		n += len(m.Rejection.Key.Name) + len(m.Rejection.Detail) + 12
	}
	return n
}

// Limits bound what a process holds and sends. Zero values have defaults.
type Limits struct {
	ChangeMost     int           // bytes of one change; 0: 64 KiB
	PartMost       int           // bytes of the changes of one message, and of the budget that may be saved up; 0: 4 KiB
	DeltaMost      int           // bytes of a delta that comes in parts; 0: 64 MiB
	BytesPerSecond float64       // to one subscriber; 0: 27,000
	Resend         time.Duration // how long a message may stay unanswered at first; 0: 500 ms
	ResendMost     time.Duration // and at the most, by doubling; 0: 4 s
	KeepaliveEvery time.Duration // 0: 2 s
	SilentAfter    time.Duration // a subscriber without a message asks another publisher, a publisher forgets one; 0: 3 keepalives
	RemovedMost    int           // removals that are remembered; who is further behind gets all anew; 0: 65,536
}

func (l Limits) withDefaults() Limits {
	l.ChangeMost = cmp.Or(l.ChangeMost, 64<<10)
	l.PartMost = cmp.Or(l.PartMost, 4<<10)
	l.BytesPerSecond = cmp.Or(l.BytesPerSecond, 27_000)
	l.Resend = cmp.Or(l.Resend, 500*time.Millisecond)
	l.DeltaMost = cmp.Or(l.DeltaMost, 64<<20)
	l.ResendMost = cmp.Or(l.ResendMost, 4*time.Second)
	l.KeepaliveEvery = cmp.Or(l.KeepaliveEvery, 2*time.Second)
	l.SilentAfter = cmp.Or(l.SilentAfter, 3*l.KeepaliveEvery)
	l.RemovedMost = cmp.Or(l.RemovedMost, 65_536)
	return l
}
