// Package inflight records the ids of requests that must not run twice, from their arrival until some time after their end. A record outlives
// the client and its connection. The processes of one node can share the records through a mapped file. The package decides nothing about
// requests, and a record is lost with the machine.
package inflight

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

const (
	// slots is the number of records that a table can hold, and probes the number of places at which a record may stand.
	slots, probes = 1 << 15, 16
	// fileBytes is the size of a shared table.
	fileBytes = slots * 8
	// expiryBits is the part of a record for its end, in units of expiryUnit. The rest is a part of the hash of its id. Two ids share a
	// record by chance about once in 2^50 requests.
	expiryBits, expiryUnit = 24, 100 * time.Millisecond
	expiryMask             = 1<<expiryBits - 1
)

// errNotATable reports that a file has another size than a table.
var errNotATable = errors.New("not a table of requests in flight: remove the file")

// Table is a set of ids that each end at a time. All times are Unix times. NewTable and Open return one. It is safe for concurrent use, also
// by several processes.
type Table struct {
	records []atomic.Uint64 // 0: free
	evicted atomic.Int64
	mapped  []byte // nil: not shared
}

// NewTable returns a table of this process alone.
func NewTable() *Table { return &Table{records: make([]atomic.Uint64, slots)} }

// Open returns the table in a file, which it creates if there is none.
func Open(path string) (*Table, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	info, err := f.Stat()
	switch {
	case err != nil:
		return nil, err
	case info.Size() != 0 && info.Size() != fileBytes:
		return nil, fmt.Errorf("%s: %w", path, errNotATable)
	}
	// All pages are written now. Without space for one, an access would end the process.
	if err := syscall.Fallocate(int(f.Fd()), 0, 0, fileBytes); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	mapped, err := syscall.Mmap(int(f.Fd()), 0, fileBytes, syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &Table{records: unsafe.Slice((*atomic.Uint64)(unsafe.Pointer(&mapped[0])), slots), mapped: mapped}, nil
}

// Close ends the use of a shared table.
func (t *Table) Close() error {
	if t.mapped == nil {
		return nil
	}
	return syscall.Munmap(t.mapped)
}

// Evicted returns how many records were dropped before their end, because there were too many.
func (t *Table) Evicted() int64 { return t.evicted.Load() }

// Add records an id until a time. It reports false if there is a record of it already.
func (t *Table) Add(id string, now, until time.Duration) bool {
	key := keyOf(id)
	for {
		place, old, found := t.find(key, now)
		if found {
			return false
		}
		if !place.CompareAndSwap(old, key.tag|expiryOf(until)) {
			continue // another one has taken the place meanwhile
		}
		if isLive(old, now) {
			t.evicted.Add(1)
		}
		if first, _, _ := t.find(key, now); first != place { // another one has found an earlier place, which became free meanwhile
			place.Store(0)
			return false
		}
		return true
	}
}

// Extend changes the end of the record of an id. If there is none any more, it adds one.
func (t *Table) Extend(id string, now, until time.Duration) {
	key := keyOf(id)
	place, _, _ := t.find(key, now)
	place.Store(key.tag | expiryOf(until))
}

// Remove removes the record of an id.
func (t *Table) Remove(id string, now time.Duration) {
	if place, _, found := t.find(keyOf(id), now); found {
		place.Store(0)
	}
}

// key is where a record stands, and its part of the hash.
type key struct {
	first int
	tag   uint64
}

func keyOf(id string) key {
	sum := sha256.Sum256([]byte(id))
	tag := binary.LittleEndian.Uint64(sum[:]) &^ expiryMask
	if tag == 0 {
		tag = 1 << expiryBits
	}
	return key{first: int(binary.LittleEndian.Uint64(sum[8:]) % slots), tag: tag}
}

// find returns the place of a record. If there is none, it returns the place for it, which is a free one, or else that of the record that
// ends first. It also returns what it has read there.
func (t *Table) find(k key, now time.Duration) (place *atomic.Uint64, old uint64, found bool) {
	var soonest uint64 // 0: the place is free
	for i := range probes {
		candidate := &t.records[(k.first+i)%slots]
		record, left := candidate.Load(), uint64(0)
		if isLive(record, now) {
			if record&^expiryMask == k.tag {
				return candidate, record, true
			}
			left = remaining(record, now)
		}
		if place == nil || left < soonest {
			place, old, soonest = candidate, record, left
		}
	}
	return place, old, false
}

// expiryOf returns the end of a record, rounded up.
func expiryOf(until time.Duration) uint64 { return uint64(until/expiryUnit+1) & expiryMask }

// remaining returns how many units of time a record has left. It is over half of all units for one that has ended.
func remaining(record uint64, now time.Duration) uint64 {
	return (record - uint64(now/expiryUnit)) & expiryMask
}

func isLive(record uint64, now time.Duration) bool {
	left := remaining(record, now)
	return record != 0 && left > 0 && left <= expiryMask/2
}
