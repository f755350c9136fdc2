// This file has an in-memory store of a shard's records, ordered by key.

package schema

import "github.com/tidwall/btree"

// Table is an in-memory Store for records of one kind. It does no locking. The zero value is empty.
type Table struct {
	records btree.Map[string, Record]
}

// Get returns the record with this key.
func (t *Table) Get(key string) (Record, bool) { return t.records.Get(key) }

// Put inserts a record, or replaces the one with the same key.
func (t *Table) Put(r Record) { t.records.Set(r.Key, r) }

// Delete removes the record with this key.
func (t *Table) Delete(key string) { t.records.Delete(key) }

// Len returns the number of records.
func (t *Table) Len() int { return t.records.Len() }

// After visits records by rising key, starting after the given key, until visit returns false.
func (t *Table) After(key string, visit func(Record) bool) {
	t.records.Ascend(key, func(k string, r Record) bool {
		return k == key || visit(r)
	})
}
