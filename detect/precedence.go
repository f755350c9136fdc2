package detect

// This file has the precedence of updates: which of two updates of one name holds.

// precedence lists the keys that two updates of one name are compared by; the first difference decides. It is data, so that it
// matches the table of the design note. The order is total, so updates merged in any order give the same result.
var precedence = []struct {
	what string
	key  func(Update) uint64
}{
	{"start", func(w Update) uint64 { return w.Start }},                             // the later process
	{"left", func(w Update) uint64 { return stateRank[w.State] / stateRank[Left] }}, // final for its start number
	{"incarnation", func(w Update) uint64 { return uint64(w.Inc) }},                 // the later update of the process itself
	{"state", func(w Update) uint64 { return stateRank[w.State] }},                  // the accusation that its next incarnation refutes
}

var stateRank = [...]uint64{Alive: 0, Away: 1, Suspect: 2, Dead: 3, Left: 4}

// Compare orders two updates of one name: above 0, a holds over b. Of two equal updates neither adds anything to the other.
func Compare(a, b Update) int {
	for i := range precedence {
		if x, y := precedence[i].key(a), precedence[i].key(b); x > y {
			return 1
		} else if x < y {
			return -1
		}
	}
	return 0
}

// maxTextBytes bounds names and addresses: a DNS name and a port. An update with a longer one is ignored.
const maxTextBytes = 262

// isValid reports whether a received update is well formed.
func (w *Update) isValid() bool {
	return w.Name != "" && len(w.Name) <= maxTextBytes && w.Addr != "" &&
		len(w.Addr) <= maxTextBytes && len(w.By) <= maxTextBytes && w.State <= Left
}

// isPresent reports whether the process counts as present.
func (s State) isPresent() bool { return s <= Suspect }
