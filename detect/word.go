package detect

// This file has the order of words: which of two words of one name holds.

// order is what two words of one name are compared by, the first difference decides: as data, so that the note's table and the code are
// one. It is total, so words that are merged in any order end in the same one.
var order = []struct {
	what string
	key  func(Word) uint64
}{
	{"start", func(w Word) uint64 { return w.Start }},                   // the later process
	{"left", func(w Word) uint64 { return rank[w.State] / rank[Left] }}, // final for its start
	{"incarnation", func(w Word) uint64 { return uint64(w.Inc) }},       // what it said later itself
	{"state", func(w Word) uint64 { return rank[w.State] }},             // the accusation that its next incarnation answers
}

var rank = [...]uint64{Alive: 0, Away: 1, Suspect: 2, Dead: 3, Left: 4}

// Compare orders two words of one name: above 0, a holds over b. Of two that are equal, neither says what the other does not.
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

// textMost bounds names and addresses: a DNS name and a port. A word with a longer one is taken for nothing.
const textMost = 262

// sound tells whether a word that came in can be one at all.
func (w *Word) sound() bool {
	return w.Name != "" && len(w.Name) <= textMost && w.Addr != "" && len(w.Addr) <= textMost && len(w.By) <= textMost && w.State <= Left
}

// there tells whether the process is reckoned with.
func (s State) there() bool { return s <= Suspect }
