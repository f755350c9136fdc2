package schema_test

import (
	"fmt"

	"glencart/schema"
)

// Two releases count the usage of one tenant. The later one counts work in addition to requests. The earlier one does not define the work
// field, but merges it all the same.
func Example() {
	later := &schema.Registry{}
	for _, f := range []schema.Form{
		{Kind: schema.Use, Number: 1, Name: "requests", Fields: []schema.FieldDef{{Num: 1000, Name: "requests", Join: schema.Max}}},
		{Kind: schema.Use, Number: 2, Name: "and work", Fields: []schema.FieldDef{
			{Num: 1000, Name: "requests", Join: schema.Max}, {Num: 1001, Name: "work, ms", Join: schema.Max}}},
	} {
		if err := later.Register(f); err != nil {
			fmt.Println(err)
		}
	}
	earlier := later.Restrict(schema.Use, 1, 1)

	a := schema.Record{Kind: schema.Use, Schema: 2, Key: "tenant-7"}
	a.Set(schema.Field{Num: 1000, Sub: "a", Int: 12})
	a.Set(schema.Field{Num: 1001, Sub: "a", Int: 340})
	sent, err := later.Convert(a, 1) // the receiver reads no higher schema
	fmt.Println(sent.Schema, err)

	got, err := schema.ParseRecord(schema.AppendRecord(nil, sent))
	fmt.Println(got.Schema, err)
	b := schema.Record{Kind: schema.Use, Schema: 1, Key: "tenant-7"}
	b.Set(schema.Field{Num: 1000, Sub: "b", Int: 5})
	merged, err := earlier.Merge(b, got)
	fmt.Println(merged.Int(1000, "a"), merged.Int(1000, "b"), err)

	back, err := later.Convert(merged, 2)
	fmt.Println(back.Int(1001, "a"), err)
	_, err = earlier.Convert(back, 1)
	fmt.Println(err)
	// Output:
	// 1 <nil>
	// 1 <nil>
	// 12 5 <nil>
	// 340 <nil>
	// no such form: use at schema 2: this release reads 1 to 1: upgrade it, or take the written schema back first
}
