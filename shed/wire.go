// Encoding of a Sum in protobuf's wire format. A reader skips the fields of a newer version that it does not know.

package shed

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// Field numbers of a Sum, and of a pool in it. Rates are in tenths of a request a second.
const (
	fieldZone, fieldPlans, fieldAlone, fieldAt, fieldPool, fieldStart     = 1, 2, 3, 4, 5, 6
	poolName, poolProtected, poolLatency, poolCapacity, poolCells, tenths = 1, 2, 3, 4, 5, 10
)

// shrinkSum merges adjacent cells until the encoded sum fits MaxSumBytes, starting with those of the lowest demand. It prefers cells
// of the same rank, and merges the higher priority into the lower, so that no request appears with a higher priority than its own. If
// no cells are left to merge, it drops the last pool.
func shrinkSum(s *Sum) {
	for excessBytes := 0; ; excessBytes -= maxCellBytes {
		if excessBytes <= 0 { // encoding is expensive: estimate the number of merges first, and encode again after them
			if excessBytes = len(AppendSum(nil, *s)) - MaxSumBytes; excessBytes <= 0 {
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
					cost += 4 * maxRate
				}
				if cost < least {
					cells, at, least = &s.Pools[i].Cells, j, cost
				}
			}
		}
		if cells == nil {
			s.Pools, excessBytes = s.Pools[:len(s.Pools)-1], 0
			continue
		}
		a, b := (*cells)[at], &(*cells)[at+1]
		b.Asked, b.Admitted, b.Served, b.Refused = b.Asked+a.Asked, b.Admitted+a.Admitted, b.Served+a.Served, b.Refused+a.Refused
		*cells = slices.Delete(*cells, at, at+1)
	}
}

// maxCellBytes is the maximum length of an encoded cell: one byte for the priority and four varints of up to 3 bytes.
const maxCellBytes = 1 + 4*3

func toTenths(x float64) uint64 { return uint64(math.Round(sanitizeRate(x) * tenths)) }

// AppendSum appends the encoded sum to dst. The result of Shed.Sum takes at most MaxSumBytes bytes.
func AppendSum(dst []byte, s Sum) []byte {
	dst = protowire.AppendString(protowire.AppendTag(dst, fieldZone, protowire.BytesType), s.Zone)
	dst = protowire.AppendFixed64(protowire.AppendTag(dst, fieldPlans, protowire.Fixed64Type), s.Plans)
	appendNumber := func(b []byte, field protowire.Number, x uint64) []byte {
		if x == 0 {
			return b
		}
		return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), x)
	}
	dst = appendNumber(dst, fieldAlone, protowire.EncodeBool(s.OwnViewOnly))
	dst = appendNumber(dst, fieldAt, uint64(max(0, s.At.Milliseconds())))
	dst = appendNumber(dst, fieldStart, s.Start)
	for _, p := range s.Pools {
		b := protowire.AppendString(protowire.AppendTag(nil, poolName, protowire.BytesType), p.Pool)
		b = appendNumber(b, poolProtected, toTenths(p.Protected))
		b = appendNumber(b, poolLatency, uint64(max(0, p.Latency.Microseconds())))
		if p.Capacity > 0 {
			b = appendNumber(b, poolCapacity, max(1, toTenths(p.Capacity))) // never 0, which means that no limit is known
		}
		var cells []byte
		for _, c := range p.Cells {
			cells = append(cells, byte(c.Priority))
			for _, x := range []float64{c.Asked, c.Admitted, c.Served, c.Refused} {
				cells = protowire.AppendVarint(cells, toTenths(x))
			}
		}
		b = protowire.AppendBytes(protowire.AppendTag(b, poolCells, protowire.BytesType), cells)
		dst = protowire.AppendBytes(protowire.AppendTag(dst, fieldPool, protowire.BytesType), b)
	}
	return dst
}

var errMalformedSum = errors.New("parse load sum: malformed message")

// ParseSum decodes the output of AppendSum. The result has no reference to b, and its length, pools and rates are within the bounds of
// a Sum.
func ParseSum(b []byte) (s Sum, err error) {
	if len(b) > MaxSumBytes {
		return s, fmt.Errorf("parse load sum: %d bytes, more than the maximum of %d", len(b), MaxSumBytes)
	}
	err = parseFields(b, func(field protowire.Number, x uint64, text []byte) error {
		switch field {
		case fieldZone:
			s.Zone = wireName(string(text))
		case fieldPlans:
			s.Plans = x
		case fieldAlone:
			s.OwnViewOnly = x != 0
		case fieldAt:
			s.At = time.Duration(min(x, 1<<40)) * time.Millisecond
		case fieldStart:
			s.Start = x
		case fieldPool:
			if len(s.Pools) == MaxPools {
				return nil
			}
			p, err := parsePool(text)
			if err != nil {
				return err
			}
			if slices.ContainsFunc(s.Pools, func(q PoolSum) bool { return q.Pool == p.Pool }) {
				return errMalformedSum
			}
			s.Pools = append(s.Pools, p)
		}
		return nil
	})
	return s, err
}

func parsePool(b []byte) (p PoolSum, err error) {
	err = parseFields(b, func(field protowire.Number, x uint64, text []byte) error {
		switch field {
		case poolName:
			p.Pool = wireName(string(text))
		case poolProtected:
			p.Protected = sanitizeRate(float64(x) / tenths)
		case poolLatency:
			p.Latency = time.Duration(min(x, math.MaxInt32)) * time.Microsecond
		case poolCapacity:
			p.Capacity = sanitizeRate(float64(x) / tenths)
		case poolCells:
			p.Cells = nil
			for len(text) > 0 {
				c := Cell{Priority: Priority(text[0])}
				if n := len(p.Cells); n > 0 && p.Cells[n-1].Priority >= c.Priority {
					return errMalformedSum
				}
				text = text[1:]
				for _, to := range []*float64{&c.Asked, &c.Admitted, &c.Served, &c.Refused} {
					x, n := protowire.ConsumeVarint(text)
					if n < 0 {
						return errMalformedSum
					}
					*to, text = sanitizeRate(float64(x)/tenths), text[n:]
				}
				p.Cells = append(p.Cells, c)
			}
		}
		return nil
	})
	return p, err
}

// parseFields calls do for each field of a message. A field whose wire type a Sum does not use is passed without a value.
func parseFields(b []byte, do func(field protowire.Number, x uint64, text []byte) error) error {
	for len(b) > 0 {
		field, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return errMalformedSum
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
			return errMalformedSum
		}
		if err := do(field, x, text); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}
