// A shard's records in order of their keys.
package schema

import "github.com/tidwall/btree"

// Table is a Shelf of one kind, in memory. It has no lock of its own. The zero value is empty.
type Table struct {
	records btree.Map[string, Record]
}

// Get finds a record.
func (t *Table) Get(key string) (Record, bool) { return t.records.Get(key) }

// Put puts a record in the place of the one of its key.
func (t *Table) Put(r Record) { t.records.Set(r.Key, r) }

// Delete takes one out.
func (t *Table) Delete(key string) { t.records.Delete(key) }

// Len is how many there are.
func (t *Table) Len() int { return t.records.Len() }

// After visits by rising key, from the first that is greater.
func (t *Table) After(key string, visit func(Record) bool) {
	t.records.Ascend(key, func(k string, r Record) bool {
		return k == key || visit(r)
	})
}
