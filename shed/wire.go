// A Sum as bytes, in protobuf's wire format: one that is newer is read as far as it is known.
package shed

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// Fields of a Sum, and of a pool in it. Rates go in tenths of a request a second.
const (
	fieldZone, fieldPlans, fieldAlone, fieldAt, fieldPool, fieldStart = 1, 2, 3, 4, 5, 6
	poolName, poolKept, poolPace, poolRoom, poolCells, tenths         = 1, 2, 3, 4, 5, 10
)

// bound puts neighbours together until a sum is short enough, those that are asked for least first: within a rank while there are any, and the
// higher into the lower, so that nothing looks higher than it is.
func bound(s *Sum) {
	for over := 0; ; over -= cellMost {
		if over <= 0 { // to word it is dear: first as many are put together as must be
			if over = len(AppendSum(nil, *s)) - SumMost; over <= 0 {
				return
			}
		}
		var cells *[]Cell
		at, least := 0, math.Inf(1)
		for i := range s.Pools {
			list := s.Pools[i].Cells
			for j := 0; j+1 < len(list); j++ {
				cost := list[j].Asked
				if list[j].Priority.Rank() != list[j+1].Priority.Rank() {
					cost += 4 * rateMost
				}
				if cost < least {
					cells, at, least = &s.Pools[i].Cells, j, cost
				}
			}
		}
		if cells == nil {
			s.Pools, over = s.Pools[:len(s.Pools)-1], 0
			continue
		}
		a, b := (*cells)[at], &(*cells)[at+1]
		b.Asked, b.Admitted, b.Served, b.NoRoom = b.Asked+a.Asked, b.Admitted+a.Admitted, b.Served+a.Served, b.NoRoom+a.NoRoom
		*cells = slices.Delete(*cells, at, at+1)
	}
}

// cellMost is the most bytes of a cell.
const cellMost = 1 + 4*3

func toTenths(x float64) uint64 { return uint64(math.Round(sound(x) * tenths)) }

// AppendSum words a sum. What Shed.Sum gives is SumMost bytes at most.
func AppendSum(dst []byte, s Sum) []byte {
	dst = protowire.AppendString(protowire.AppendTag(dst, fieldZone, protowire.BytesType), s.Zone)
	dst = protowire.AppendFixed64(protowire.AppendTag(dst, fieldPlans, protowire.Fixed64Type), s.Plans)
	number := func(b []byte, field protowire.Number, x uint64) []byte {
		if x == 0 {
			return b
		}
		return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), x)
	}
	dst = number(dst, fieldAlone, protowire.EncodeBool(s.Alone))
	dst = number(dst, fieldAt, uint64(max(0, s.At.Milliseconds())))
	dst = number(dst, fieldStart, s.Start)
	for _, p := range s.Pools {
		b := protowire.AppendString(protowire.AppendTag(nil, poolName, protowire.BytesType), p.Pool)
		b = number(b, poolKept, toTenths(p.Kept))
		b = number(b, poolPace, uint64(max(0, p.Pace.Microseconds())))
		if p.Room > 0 {
			b = number(b, poolRoom, max(1, toTenths(p.Room))) // never 0: that is no bound
		}
		var cells []byte
		for _, c := range p.Cells {
			cells = append(cells, byte(c.Priority))
			for _, x := range []float64{c.Asked, c.Admitted, c.Served, c.NoRoom} {
				cells = protowire.AppendVarint(cells, toTenths(x))
			}
		}
		b = protowire.AppendBytes(protowire.AppendTag(b, poolCells, protowire.BytesType), cells)
		dst = protowire.AppendBytes(protowire.AppendTag(dst, fieldPool, protowire.BytesType), b)
	}
	return dst
}

var errSum = errors.New("not a sum of pressure")

// ParseSum reads what AppendSum worded. It keeps nothing of b, and what it returns is bounded as a Sum is.
func ParseSum(b []byte) (s Sum, err error) {
	if len(b) > SumMost {
		return s, fmt.Errorf("sum of pressure: %d bytes: more than %d", len(b), SumMost)
	}
	err = fields(b, func(field protowire.Number, x uint64, text []byte) error {
		switch field {
		case fieldZone:
			s.Zone = wireName(string(text))
		case fieldPlans:
			s.Plans = x
		case fieldAlone:
			s.Alone = x != 0
		case fieldAt:
			s.At = time.Duration(min(x, 1<<40)) * time.Millisecond
		case fieldStart:
			s.Start = x
		case fieldPool:
			if len(s.Pools) == PoolsMost {
				return nil
			}
			p, err := parsePool(text)
			if err != nil {
				return err
			}
			if slices.ContainsFunc(s.Pools, func(q PoolSum) bool { return q.Pool == p.Pool }) {
				return errSum
			}
			s.Pools = append(s.Pools, p)
		}
		return nil
	})
	return s, err
}

func parsePool(b []byte) (p PoolSum, err error) {
	err = fields(b, func(field protowire.Number, x uint64, text []byte) error {
		switch field {
		case poolName:
			p.Pool = wireName(string(text))
		case poolKept:
			p.Kept = sound(float64(x) / tenths)
		case poolPace:
			p.Pace = time.Duration(min(x, math.MaxInt32)) * time.Microsecond
		case poolRoom:
			p.Room = sound(float64(x) / tenths)
		case poolCells:
			p.Cells = nil
			for len(text) > 0 {
				c := Cell{Priority: Priority(text[0])}
				if n := len(p.Cells); n > 0 && p.Cells[n-1].Priority >= c.Priority {
					return errSum
				}
				text = text[1:]
				for _, to := range []*float64{&c.Asked, &c.Admitted, &c.Served, &c.NoRoom} {
					x, n := protowire.ConsumeVarint(text)
					if n < 0 {
						return errSum
					}
					*to, text = sound(float64(x)/tenths), text[n:]
				}
				p.Cells = append(p.Cells, c)
			}
		}
		return nil
	})
	return p, err
}

// fields goes through a message. Fields of a kind that is not known are stepped over.
func fields(b []byte, do func(field protowire.Number, x uint64, text []byte) error) error {
	for len(b) > 0 {
		field, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return errSum
		}
		b = b[n:]
		var x uint64
		var text []byte
		switch kind {
		case protowire.VarintType:
			x, n = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			x, n = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			text, n = protowire.ConsumeBytes(b)
		default:
			n = protowire.ConsumeFieldValue(field, kind, b)
		}
		if n < 0 {
			return errSum
		}
		if err := do(field, x, text); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}
