// This file migrates a whole shard in the background.

package schema

// Store is the store of a shard's records. The caller holds the shard's lock during a Step.
type Store interface {
	// After visits records by rising key, starting after the given key, until visit returns false. Put is not called during After.
	After(key string, visit func(Record) bool)
	// Put inserts a record, or replaces the one with the same key.
	Put(Record)
}

// StepLimit limits one step of a sweep: the number of records visited, and the number of fields of the records that are moved. A single record
// over the limit is still moved, because the sweep would never end otherwise.
type StepLimit struct {
	Records, Fields int
}

// DefaultStepLimit blocks a shard for a fraction of a millisecond; see BenchmarkSweep.
var DefaultStepLimit = StepLimit{Records: 64, Fields: 512}

// Sweep moves the records of one kind in a shard to one schema. Its fields are its whole state, so it may be stored after any step and
// continued later. A step that was interrupted is repeated. Records that it had already moved are not moved twice.
type Sweep struct {
	Kind    Kind
	To      uint16
	LastKey string // the last key visited
	Done    bool

	Moved       int    // records whose schema changed
	Unreachable int    // records without a path to To, left at the nearest schema that they can reach
	Failed      int    // records that this release does not read or whose step failed, left unchanged
	Highest     uint16 // the highest schema among the visited records, after the move
	Err         error  // the last error counted in Failed
}

// Step visits the next records, moves them and returns the number of records visited. A record that is stored behind the position of the
// sweep meanwhile must already be at To, or at the schema that ConvertNearest reaches. Keep ensures this.
func (s *Sweep) Step(b *Registry, shelf Store, bound StepLimit) int {
	if s.Done {
		return 0
	}
	var move []Record
	visited, fields := 0, 0
	s.Done = true
	shelf.After(s.LastKey, func(r Record) bool {
		moves := r.Kind == s.Kind && r.Schema != s.To
		if visited > 0 && (visited >= bound.Records || moves && fields+len(r.Fields) > bound.Fields) {
			s.Done = false
			return false
		}
		visited++
		s.LastKey = r.Key
		if moves {
			fields += len(r.Fields)
			move = append(move, r)
		} else if r.Kind == s.Kind {
			s.Highest = max(s.Highest, r.Schema)
		}
		return true
	})
	for _, r := range move {
		to, err := b.ConvertNearest(r, s.To)
		if err != nil {
			s.Failed++
			s.Err = err
			s.Highest = max(s.Highest, r.Schema)
			continue
		}
		if to.Schema != s.To {
			s.Unreachable++
		}
		if to.Schema != r.Schema {
			s.Moved++
			shelf.Put(to)
		}
		s.Highest = max(s.Highest, to.Schema)
	}
	return visited
}
