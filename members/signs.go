// This file holds what nodes see, and tell one another, of backends' processes before any list tells of them.

package members

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"glencart/balance"
)

const (
	// SignVersion is the first byte of a message of signs. Reports that package balance passes on begin with 1; a node that
	// knows only these ignores signs, with a line once a minute.
	SignVersion = 2
	// A sign is signLen bytes: its kind (1), the backend's name (4), when its process started by the list and when it was
	// seen (6 each, Unix time in milliseconds). As many as fit in signsMost bytes go in one message.
	signLen, signsMost = 17, 256
	// witnesses is how many nodes have to see a process end, this one among them or not, before it is believed without an own
	// look: one node alone may be led to a wrong address.
	witnesses = 2
	// A backend that has ended gets nothing for holdFor to twice that. Then it is tried as one that has just started, and the first
	// node that is refused tells all others.
	holdFor = time.Second
	// heldParts: no more than one of so many listed backends is held.
	heldParts = 2
	// A sign waits up to signSpread before it is told, so that a node that others were quicker than stays silent.
	signSpread = 20 * time.Millisecond
	// What was seen more than signOld ago, or by a clock that is as far ahead, tells nothing.
	signOld = 3 * time.Second
	// A node that had no answer at all for deafAfter may be cut off, and tells nothing.
	deafAfter = 2 * time.Second
)

// kinds of signs.
type sign uint8

const (
	noSign sign = iota
	ended       // a connection was refused
	began       // and after that the backend answered
)

// witness is a node that has seen a process end or begin.
type witness struct {
	peer int // self: this node
	at   time.Duration
}

const self = -1

// process is what was seen of a backend's process, beyond what the list says.
type process struct {
	refused time.Duration // when it refused a connection last, since it answered last; 0: it has not
	renewed time.Duration // when the one that came after it began, at the latest; 0: none did
	seen    [witnesses + 1]witness
	held    time.Duration // it gets nothing until then; 0: it is not held
	tried   bool          // a hold has ended, and nothing came of it yet: one sign is enough for another
	say     sign          // is to be told, at sayAt
	sayAt   time.Duration
	stirred bool // stands in Hand.stirred
}

// Speak has signs of other nodes be heard, and this one's be told, with chance to spread them in time. Without it a node
// goes by what it sees alone.
func (h *Hand) Speak(chance *rand.Rand) { h.chance = chance }

// Refused takes in that nobody listens at a backend: its process has ended. It returns the lines that the engine has to be told.
func (h *Hand) Refused(id string, now time.Duration) []Line {
	k := h.all[id]
	if k == nil || k.line.Phase == balance.Gone {
		return nil
	}
	k.note(self, now)
	enough := witnesses
	if k.tried || k.held > 0 {
		enough = 1
	}
	if k.others(now-holdFor) < enough {
		h.wish(k, ended, now)
	}
	h.doubt(k, now)
	return h.hold(k, now)
}

// Answered takes in that a backend has answered. After a refusal it is another process, which has just started, until the list
// tells when it did. Silence of discovery takes nothing back: it may be down, and the process is as cold. It returns the lines
// that the engine has to be told, mostly none.
func (h *Hand) Answered(id string, now time.Duration) []Line {
	h.answered = now
	if h.doubted == 0 {
		return nil // the common case costs nothing
	}
	k := h.all[id]
	if k == nil || k.refused == 0 {
		return nil
	}
	if k.line.Launched >= k.refused { // the list has told of it in the meantime
		h.trust(k)
		return nil
	}
	k.note(self, now)
	h.wish(k, began, now)
	return h.renew(k, now)
}

// InDoubt counts the backends that have refused since they answered.
func (h *Hand) InDoubt() int { return h.doubted }

// Heard takes in a message of signs. Each is about one process: one that the list of this node has left behind, or does not
// know, is passed over, and so is what cannot be read. It returns the lines that the engine has to be told.
func (h *Hand) Heard(peer int, message []byte, now time.Duration) []Line {
	var told []Line
	if h.chance == nil || len(message) == 0 || message[0] != SignVersion {
		return nil
	}
	for m := message[1:]; len(m) >= signLen; m = m[signLen:] {
		k := h.names[binary.BigEndian.Uint32(m[1:])]
		launched, at := millis(m[5:]), millis(m[11:])
		if k == nil || k.line.Phase == balance.Gone || launched != k.line.Launched.Truncate(time.Millisecond) ||
			now-at > signOld || at-now > signOld {
			continue
		}
		switch sign(m[0]) {
		case ended:
			told = append(told, h.heardEnd(k, peer, at, now)...)
		case began:
			told = append(told, h.heardStart(k, peer, at, now)...)
		}
	}
	return told
}

func (h *Hand) heardEnd(k *known, peer int, at, now time.Duration) []Line {
	if at <= k.renewed {
		return nil // of the process before
	}
	k.note(peer, at)
	h.stir(k)
	again := k.tried || k.held > 0
	if k.say == ended && (again || k.others(now-holdFor) >= witnesses) {
		k.say = noSign
	}
	if !again && k.count(now) < witnesses {
		return nil
	}
	h.doubt(k, at)
	return h.hold(k, now)
}

func (h *Hand) heardStart(k *known, peer int, at, now time.Duration) []Line {
	if at < k.refused || k.refused == 0 && at-k.renewed < signOld {
		return nil // it has refused since, or this is known
	}
	k.note(peer, at)
	h.stir(k)
	if k.refused == 0 && k.count(now) < witnesses {
		return nil
	}
	k.say = noSign
	return h.renew(k, at)
}

// Due does what is due: holds that are over end, and signs go out. It returns a message to all peers, or nil, and the lines
// that the engine has to be told.
func (h *Hand) Due(now time.Duration) (message []byte, told []Line) {
	speak := false
	for _, k := range h.stirred {
		speak = speak || k.say != noSign && k.sayAt <= now
	}
	for _, k := range h.stirred {
		if k.held > 0 && k.held <= now {
			k.held, k.tried, k.renewed = 0, true, now
			h.held--
			told = append(told, k.told(k.line))
		}
		if !speak || k.say == noSign || len(message)+signLen >= signsMost {
			continue
		}
		if now-h.answered <= deafAfter {
			if message == nil {
				message = []byte{SignVersion}
			}
			message = k.word(message)
		}
		k.say = noSign
	}
	h.stirred = slices.DeleteFunc(h.stirred, func(k *known) bool {
		k.stirred = k.held > 0 || k.say != noSign
		return !k.stirred
	})
	return message, told
}

// Next is when Due has something to do; false: never, as things stand.
func (h *Hand) Next() (at time.Duration, some bool) {
	sooner := func(t time.Duration) {
		if !some || t < at {
			at, some = t, true
		}
	}
	for _, k := range h.stirred {
		if k.held > 0 {
			sooner(k.held)
		}
		if k.say != noSign {
			sooner(k.sayAt)
		}
	}
	return at, some
}

// doubt takes a backend for one whose process has ended.
func (h *Hand) doubt(k *known, at time.Duration) {
	if k.refused == 0 {
		h.doubted++
	}
	k.refused = max(k.refused, at)
}

// hold has nothing sent to a backend for a while, where enough nodes have seen that it has ended.
func (h *Hand) hold(k *known, now time.Duration) []Line {
	if h.chance == nil || k.held == 0 && !k.tried && k.count(now) < witnesses {
		return nil
	}
	if listed, _ := h.Counts(); k.held == 0 && (h.held+1)*heldParts > listed {
		return nil // so many do not end at once: something else is wrong
	}
	before := k.held
	k.held = now + holdFor + time.Duration(h.chance.Int64N(int64(holdFor)))
	h.stir(k)
	if before > 0 {
		return nil
	}
	h.held++
	return []Line{k.told(k.line)}
}

// renew takes a backend for a new process that began at a time, if it was not told as one already.
func (h *Hand) renew(k *known, at time.Duration) []Line {
	before := k.told(k.line)
	if k.renewed <= k.refused {
		k.renewed = at
	}
	h.settle(k)
	if after := k.told(k.line); after != before {
		return []Line{after}
	}
	return nil
}

// trust has the list's word hold again.
func (h *Hand) trust(k *known) {
	h.settle(k)
	k.renewed, k.say = 0, noSign
}

// settle ends all doubt of a backend.
func (h *Hand) settle(k *known) {
	if k.refused > 0 {
		h.doubted--
	}
	if k.held > 0 {
		h.held--
	}
	k.refused, k.held, k.tried, k.seen = 0, 0, false, [witnesses + 1]witness{}
}

// wish has a sign told soon, unless others are quicker.
func (h *Hand) wish(k *known, s sign, now time.Duration) {
	if h.chance == nil || k.say == s {
		return
	}
	k.say, k.sayAt = s, now+time.Duration(h.chance.Int64N(int64(signSpread)))
	h.stir(k)
}

// stir has Due look at a backend.
func (h *Hand) stir(k *known) {
	if !k.stirred {
		k.stirred = true
		h.stirred = append(h.stirred, k)
	}
}

// note remembers who has seen something of a process, each once; of too many, the latest.
func (k *known) note(peer int, at time.Duration) {
	oldest := 0
	for i, w := range k.seen {
		if w.at > 0 && w.peer == peer {
			k.seen[i].at = max(w.at, at)
			return
		}
		if w.at < k.seen[oldest].at {
			oldest = i
		}
	}
	k.seen[oldest] = witness{peer, at}
}

// count is how many nodes have seen something of a process lately.
func (k *known) count(now time.Duration) int {
	n := k.others(now - signOld)
	if slices.ContainsFunc(k.seen[:], func(w witness) bool { return w.at > 0 && w.peer == self && w.at >= now-signOld }) {
		n++
	}
	return n
}

// others is how many of them are other nodes, since a time.
func (k *known) others(since time.Duration) (n int) {
	for _, w := range k.seen {
		if w.at > 0 && w.at >= since && w.peer != self {
			n++
		}
	}
	return n
}

// word appends what is to be told of a backend.
func (k *known) word(m []byte) []byte {
	at := k.refused
	if k.say == began {
		at = k.renewed + time.Millisecond - 1 // whole milliseconds: no earlier than it was
	}
	m = binary.BigEndian.AppendUint32(append(m, byte(k.say)), k.name)
	return appendMillis(appendMillis(m, k.line.Launched), at)
}

// signName is what all nodes call a backend in signs: the lower half of XXH64 of its id.
func signName(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

func appendMillis(m []byte, t time.Duration) []byte {
	ms := uint64(t / time.Millisecond)
	return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint16(m, uint16(ms>>32)), uint32(ms))
}

func millis(m []byte) time.Duration {
	return time.Duration(uint64(binary.BigEndian.Uint16(m))<<32|uint64(binary.BigEndian.Uint32(m[2:]))) * time.Millisecond
}
