package detect

// This file has the precedence of updates: which of two updates of one name holds.

// precedence lists the keys that two updates of one name are compared by; the first difference decides. It is data, so that it
// matches the table of the design note. The order is total, so updates merged in any order give the same result.
var order = []struct {
	what string
	key  func(Word) uint64
}{
	{"start", func(w Word) uint64 { return w.Start }},                   // the later process
	{"left", func(w Word) uint64 { return rank[w.State] / rank[Left] }}, // final for its start number
	{"incarnation", func(w Word) uint64 { return uint64(w.Inc) }},       // the later update of the process itself
	{"state", func(w Word) uint64 { return rank[w.State] }},             // the accusation that its next incarnation refutes
}

var rank = [...]uint64{Alive: 0, Away: 1, Suspect: 2, Dead: 3, Left: 4}

// Compare orders two updates of one name: above 0, a holds over b. Of two equal updates neither adds anything to the other.
func Compare(a, b Word) int {
	for i := range order {
		if x, y := order[i].key(a), order[i].key(b); x > y {
			return 1
		} else if x < y {
			return -1
		}
	}
	return 0
}

// maxTextBytes bounds names and addresses: a DNS name and a port. An update with a longer one is ignored.
const textMost = 262

// isValid reports whether a received update is well formed.
func (w *Word) sound() bool {
	return w.Name != "" && len(w.Name) <= textMost && w.Addr != "" && len(w.Addr) <= textMost && len(w.By) <= textMost && w.State <= Left
}

// isPresent reports whether the process counts as present.
func (s State) there() bool { return s <= Suspect }
