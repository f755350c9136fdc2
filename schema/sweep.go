// The migration of a whole shard in the background.
package schema

// Shelf is where a shard's records stand. The caller holds the shard's lock over a Step.
type Shelf interface {
	// After visits records by rising key, from the first whose key is greater than this one, until visit says false. Nothing is
	// put while it runs.
	After(key string, visit func(Record) bool)
	// Put puts a record in the place of the one of its key.
	Put(Record)
}

// Bound is how much one step of a sweep may do: so many records are looked at, and so many fields of those that are moved. What
// stands over one bound alone is still moved, else the sweep would never end.
type Bound struct {
	Records, Fields int
}

// DefaultBound holds a shard for a fraction of a millisecond; see BenchmarkSweep.
var DefaultBound = Bound{Records: 64, Fields: 512}

// Sweep moves the records of one kind in a shard to one schema. All that it is stands in its fields: it may be written down after
// any step and goes on from there. A step that was broken off is done again: what it had moved is not moved twice.
type Sweep struct {
	Kind Kind
	To   uint16
	At   string // the last key that was looked at
	Done bool

	Moved   int    // records that changed their schema
	Kept    int    // that have no way to To, and stand as near to it as there is one
	Unread  int    // that this release does not read, or whose step failed: left as they are
	Highest uint16 // the highest schema of what was looked at, as it stands now
	Err     error  // the last one of Unread
}

// Step looks at the next records and moves them. It tells how many it looked at. What is put behind its position meanwhile has to
// be at To already, or as near to it as Near brings it: that is what Keep does.
func (s *Sweep) Step(b *Book, shelf Shelf, bound Bound) int {
	if s.Done {
		return 0
	}
	var move []Record
	looked, fields := 0, 0
	s.Done = true
	shelf.After(s.At, func(r Record) bool {
		moves := r.Kind == s.Kind && r.Schema != s.To
		if looked > 0 && (looked >= bound.Records || moves && fields+len(r.Fields) > bound.Fields) {
			s.Done = false
			return false
		}
		looked++
		s.At = r.Key
		if moves {
			fields += len(r.Fields)
			move = append(move, r)
		} else if r.Kind == s.Kind {
			s.Highest = max(s.Highest, r.Schema)
		}
		return true
	})
	for _, r := range move {
		to, err := b.Near(r, s.To)
		if err != nil {
			s.Unread++
			s.Err = err
			s.Highest = max(s.Highest, r.Schema)
			continue
		}
		if to.Schema != s.To {
			s.Kept++
		}
		if to.Schema != r.Schema {
			s.Moved++
			shelf.Put(to)
		}
		s.Highest = max(s.Highest, to.Schema)
	}
	return looked
}
