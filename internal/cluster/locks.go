package cluster

// This file holds the order of locks. A goroutine takes them in rising rank only: members, schema, ages, shards by rising number, links,
// pressure. Tests check it: a wrong order panics at once, whether or not two goroutines met.

import (
	"bytes"
	"fmt"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
)

// Ranks of locks. Shards have those from rankShards on, by number.
const (
	rankMembers = 1
	rankSchema  = 2
	rankAges    = 15
	rankShards  = 16
	rankLinks   = 1 << 20
)

// lock is a mutex with its place in the order. It is never held over a call of the network, nor of the log.
type lock struct {
	sync.Mutex
	rank int
}

// orderChecked has every lock check the order: tests switch it on, before they open a Cluster. It costs microseconds a lock.
var orderChecked atomic.Bool

// held are the ranks that each goroutine holds, the last taken last, while the order is checked.
var held struct {
	sync.Mutex
	by map[uint64][]int
}

// Lock takes the lock.
func (l *lock) Lock() {
	if orderChecked.Load() {
		l.check()
	}
	l.Mutex.Lock()
}

// Unlock gives the lock back.
func (l *lock) Unlock() {
	if orderChecked.Load() {
		l.dropped()
	}
	l.Mutex.Unlock()
}

func (l *lock) check() {
	id := goroutine()
	held.Lock()
	defer held.Unlock()
	if held.by == nil {
		held.by = map[uint64][]int{}
	}
	mine := held.by[id]
	if n := len(mine); n > 0 && mine[n-1] >= l.rank {
		panic(fmt.Sprintf("locks: rank %d after %v: the order is members, schema, ages, shards by rising number, links", l.rank, mine))
	}
	held.by[id] = append(mine, l.rank)
}

func (l *lock) dropped() {
	id := goroutine()
	held.Lock()
	defer held.Unlock()
	mine := held.by[id]
	for i := len(mine) - 1; i >= 0; i-- {
		if mine[i] == l.rank {
			mine = append(mine[:i], mine[i+1:]...)
			break
		}
	}
	if held.by[id] = mine; len(mine) == 0 {
		delete(held.by, id)
	}
}

// goroutine is the number of the goroutine that calls. Only tests need it: Go tells it in a stack's first line alone.
func goroutine() uint64 {
	var b [64]byte
	text := bytes.TrimPrefix(b[:runtime.Stack(b[:], false)], []byte("goroutine "))
	n, _, _ := bytes.Cut(text, []byte(" "))
	id, _ := strconv.ParseUint(string(n), 10, 64)
	return id
}
