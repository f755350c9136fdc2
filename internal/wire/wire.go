// Package wire reads and writes the line protocol between the simulator and its adapter. It makes no decisions. A malformed line is
// an error that names the line and the field. Unknown messages, fields and settings are skipped.
package wire

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"glencart/balance"
	"glencart/internal/settings"
)

// Kind is the kind of a message.
type Kind uint8

// Kinds of messages. The comments name the fields of Message that are set.
const (
	Clock     Kind = iota // At
	BatchEnd              // the end of a batch, which is to be answered
	Spawn                 // Node, Salt, Config
	Teardown              // Node
	List                  // Sheet, Members
	NodeEvent             // Node, Event; Sheet if UsesSheet
	Unknown               // Name; a message that this version doesn't support
)

// MaxSheet is the highest number of an endpoint list (field sheet).
const MaxSheet = 15

// Message is one message from the simulator.
type Message struct {
	Kind      Kind
	Line      int
	Name      string
	Node      string
	At        time.Duration
	Salt      uint64
	Config    balance.Config
	Sheet     int
	UsesSheet bool // the members of Event are those of list Sheet
	Members   []balance.Member
	Event     balance.Event
}

// Reader reads messages and counts lines.
type Reader struct {
	in   *bufio.Reader
	line int
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(r, 1<<16)} }

// readLine returns the next line without its line end. It returns io.EOF only if the input ends after a whole line.
func (r *Reader) readLine() (string, error) {
	s, err := r.in.ReadString('\n')
	if err == io.EOF && s != "" {
		return "", fmt.Errorf("line %d: truncated: no line end", r.line+1)
	}
	if err != nil {
		return "", err
	}
	r.line++
	return s[:len(s)-1], nil
}

// Next returns the next message, or io.EOF at the end of the input.
func (r *Reader) Next() (Message, error) {
	s, err := r.readLine()
	if err != nil {
		return Message{}, err
	}
	f, err := split(s, r.line)
	if err != nil {
		return Message{}, err
	}
	m := Message{Line: r.line, Name: f.name}
	r.decode(&m, f)
	return m, f.err
}

// decode sets m from its fields. f keeps the first error.
func (r *Reader) decode(m *Message, f *fields) {
	switch f.name {
	case "clock":
		m.Kind, m.At = Clock, f.duration("atTime")
		return
	case "your_turn":
		m.Kind = BatchEnd
		return
	case "list":
		m.Kind, m.Sheet = List, f.sheet()
		m.Members = r.entries(f)
		return
	case "spawn":
		m.Kind, m.Node, m.Salt = Spawn, f.text("node"), f.unsigned("salt", math.MaxUint64)
		m.Config = f.settings("conf")
		return
	case "teardown":
		m.Kind, m.Node = Teardown, f.text("node")
		return
	}
	m.Kind = NodeEvent
	e := &m.Event
	switch f.name {
	case "backends_changed":
		e.Kind = memberKinds[f.oneOf("kind", memberKindNames)]
		f.unsigned("stamp", math.MaxInt64)
		if m.UsesSheet = e.Kind != balance.DiscoveryFailed; m.UsesSheet {
			m.Sheet = f.sheet()
		}
	case "work_item":
		e.Kind, e.Request = balance.RequestArrived, f.text("requestId")
		e.Class, e.Budget = f.index("band"), f.duration("timeBudget")
		f.optional(func() {
			e.Tenant, e.Hint = f.index("userGroup"), f.duration("predicted")
			e.IsRepeat, e.Write = f.flag("againByClient"), f.flag("mutates")
			if e.HasKey = f.has("routeKey"); e.HasKey {
				e.Key = f.unsigned("routeKey", 1<<53-1)
			}
		})
	case "first":
		e.Kind, e.Request, e.Backend = balance.StreamStarted, f.text("requestId"), f.backend()
		e.Attempt, e.Elapsed = f.index("attempt"), f.duration("spent")
	case "bell":
		e.Kind, e.TimerID = balance.Timer, f.unsigned("mark", math.MaxInt64)
	case "probe_result":
		e.Kind, e.Backend, e.Elapsed = balance.Probed, f.backend(), f.duration("spent")
		e.Status, e.Load = f.status(), f.load()
	case "client_gone":
		e.Kind, e.Request = balance.ClientGone, f.text("requestId")
	case "from_peer":
		e.Kind, e.Peer, e.Payload = balance.PeerMessage, f.index("by"), f.bytes("raw")
	case "answer":
		e.Kind, e.Request, e.Backend = balance.Outcome, f.text("requestId"), f.backend()
		e.Attempt, e.Elapsed, e.Status = f.index("attempt"), f.duration("spent"), f.status()
		e.Load = f.load()
		f.optional(func() { e.RequestEnded = f.flag("noMore") })
	default:
		m.Kind = Unknown
		return
	}
	m.Node = f.text("node")
}

// entries reads the entry lines of an endpoint list.
func (r *Reader) entries(f *fields) []balance.Member {
	n := f.index("elements")
	if f.err != nil {
		return nil
	}
	list := make([]balance.Member, 0, min(n, 1<<12))
	for range n {
		s, err := r.readLine()
		if err != nil {
			f.setError("elements", fmt.Sprintf("expected %d entries, found %d", n, len(list)))
			return nil
		}
		e, err := split(s, r.line)
		if err == nil && e.name != "entry" {
			err = fmt.Errorf("line %d: %q instead of an entry", r.line, e.name)
		}
		if err != nil {
			f.err = err
			return nil
		}
		m := balance.Member{Backend: e.backend(), Weight: 1}
		m.Phase = balance.Phase(e.oneOf("phase", phaseNames))
		e.optional(func() {
			m.Zone, m.Cell, m.Kind = e.index("rackZone"), e.index("stripe"), e.index("generationHw")
			m.Launched = e.duration("launched")
			if e.has("nominal") {
				m.Weight = e.number("nominal")
			}
		})
		if e.err != nil {
			f.err = e.err
			return nil
		}
		list = append(list, m)
	}
	return list
}

var (
	memberKindNames = []string{"changes", "all", "remembered", "refused"}
	memberKinds     = []balance.EventKind{balance.MembersChanged, balance.MembersAll,
		balance.MembersCached, balance.DiscoveryFailed}
	phaseNames  = []string{"ready", "draining", "gone"}
	statusNames = []string{"delivered", "app_error", "shed", "expired", "dial_failed", "dropped",
		"revoked", "unused"}
)

// fields are the fields of one line. err is the first error.
type fields struct {
	line         int
	name         string
	pairs        []field
	allowMissing bool // missing fields are zero
	err          error
}

type field struct{ key, value string }

// split splits a line at its spaces. A text field extends to the end of the line.
func split(s string, line int) (*fields, error) {
	name, remaining, more := strings.Cut(s, " ")
	f := &fields{line: line, name: name, pairs: make([]field, 0, 12)}
	if name == "" || strings.Contains(name, "=") {
		return nil, fmt.Errorf("line %d: no message name", line)
	}
	for more {
		var part string
		if strings.HasPrefix(remaining, "conf=") || strings.HasPrefix(remaining, "bodyText=") {
			part, more = remaining, false
		} else {
			part, remaining, more = strings.Cut(remaining, " ")
		}
		key, value, ok := strings.Cut(part, "=")
		if !ok || key == "" {
			return nil, fmt.Errorf("line %d: %s: part %q is not name=value", line, name, part)
		}
		if f.has(key) {
			return nil, fmt.Errorf("line %d: %s: field %s given twice", line, name, key)
		}
		f.pairs = append(f.pairs, field{key, value})
	}
	return f, nil
}

func (f *fields) setError(key, why string) {
	if f.err == nil {
		f.err = fmt.Errorf("line %d: %s: field %s: %s", f.line, f.name, key, why)
	}
}

func (f *fields) has(key string) bool {
	for i := range f.pairs {
		if f.pairs[i].key == key {
			return true
		}
	}
	return false
}

// optional runs read. Fields that are missing meanwhile are zero and no error.
func (f *fields) optional(read func()) {
	f.allowMissing = true
	read()
	f.allowMissing = false
}

// get returns the value of a field. ok is false if the field is missing.
func (f *fields) get(key string) (value string, ok bool) {
	for i := range f.pairs {
		if f.pairs[i].key == key {
			return f.pairs[i].value, true
		}
	}
	if !f.allowMissing {
		f.setError(key, "missing")
	}
	return "", false
}

func (f *fields) text(key string) string {
	s, ok := f.get(key)
	if ok && s == "" {
		f.setError(key, "empty")
	}
	return s
}

func (f *fields) unsigned(key string, maxValue uint64) uint64 {
	s, ok := f.get(key)
	if !ok {
		return 0
	}
	v, err := strconv.ParseUint(s, 10, 64)
	if err != nil || v > maxValue {
		f.setError(key, fmt.Sprintf("%q is not a whole number up to %d", s, maxValue))
		return 0
	}
	return v
}

func (f *fields) index(key string) int { return int(f.unsigned(key, math.MaxInt32)) }

func (f *fields) duration(key string) time.Duration {
	return time.Duration(f.unsigned(key, math.MaxInt64))
}

func (f *fields) backend() balance.BackendID {
	return balance.BackendID(f.unsigned("backend", math.MaxUint32))
}

func (f *fields) sheet() int { return int(f.unsigned("sheet", MaxSheet)) }

func (f *fields) flag(key string) bool { return f.unsigned(key, 1) == 1 }

func (f *fields) number(key string) float64 {
	s, _ := f.get(key)
	return f.parseNumber(key, s)
}

func (f *fields) parseNumber(key, s string) float64 {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		f.setError(key, fmt.Sprintf("%q is not a number", s))
		return 0
	}
	return v
}

func (f *fields) oneOf(key string, names []string) int {
	s, ok := f.get(key)
	if !ok {
		return 0
	}
	for i, n := range names {
		if s == n {
			return i
		}
	}
	f.setError(key, fmt.Sprintf("%q is not one of %s", s, strings.Join(names, ", ")))
	return 0
}

func (f *fields) status() balance.Status { return balance.Status(f.oneOf("status", statusNames)) }

func (f *fields) bytes(key string) []byte {
	s, ok := f.get(key)
	if !ok || s == "-" {
		return nil
	}
	b, err := base64.StdEncoding.Strict().DecodeString(s)
	if err != nil {
		f.setError(key, "not base64")
	}
	return b
}

// load parses a load report. Unknown names are skipped.
func (f *fields) load() balance.Load {
	var l balance.Load
	if !f.has("load") {
		return l
	}
	s, _ := f.get("load")
	if s == "" || s == "-" {
		return l
	}
	targets := [...]*float64{&l.Active, &l.Waiting, &l.CPU, &l.AvgMs, &l.RPS, &l.ErrRPS}
	for _, pair := range strings.Split(s, ",") {
		name, value, ok := strings.Cut(pair, ":")
		if !ok {
			f.setError("load", fmt.Sprintf("%q is not name:value", pair))
			return l
		}
		for i, n := range settings.LoadNames {
			if n == name {
				*targets[i] = f.parseNumber("load", value)
				l.Has |= 1 << i
			}
		}
	}
	return l
}

// settings parses a settings object.
func (f *fields) settings(key string) balance.Config {
	s, ok := f.get(key)
	if !ok {
		return balance.Config{}
	}
	parsed, err := settings.Parse([]byte(s))
	if err != nil {
		f.setError(key, err.Error())
	}
	return parsed.Config
}

// AppendAction appends a line with an action of a node to a reply.
func AppendAction(b []byte, node string, a *balance.Action) []byte {
	num := func(key string, v int64) {
		b = append(append(b, ' '), key...)
		b = strconv.AppendInt(append(b, '='), v, 10)
	}
	str := func(key, v string) {
		b = append(append(b, ' '), key...)
		b = append(append(b, '='), v...)
	}
	begin := func(name string) {
		b = append(b, name...)
		str("node", node)
	}
	switch a.Kind {
	case balance.Send:
		begin("call_out")
		str("requestId", a.Request)
		num("backend", int64(a.Backend))
		if a.AttemptTimeout != 0 {
			num("limit", int64(a.AttemptTimeout))
		}
	case balance.Cancel:
		begin("abandon")
		str("requestId", a.Request)
		num("attempt", int64(a.Attempt))
	case balance.Reject:
		begin("decline")
		str("requestId", a.Request)
		if a.RetryAfter > 0 {
			num("retryIn", int64(a.RetryAfter))
		}
	case balance.Fail:
		begin("give_up")
		str("requestId", a.Request)
	case balance.Probe:
		begin("test")
		num("backend", int64(a.Backend))
	case balance.SetTimer:
		begin("schedule")
		num("in", int64(a.In))
		num("mark", int64(a.TimerID))
	case balance.Watch:
		begin("subscribe")
		num("active", 1)
	case balance.Unwatch:
		begin("subscribe")
		num("active", 0)
	case balance.Fetch:
		begin("query_all")
	case balance.SendToPeer:
		begin("say")
		if a.Peer == balance.AllPeers {
			str("target", "all")
		} else {
			num("target", int64(a.Peer))
		}
		if len(a.Payload) == 0 {
			str("raw", "-")
		} else {
			str("raw", base64.StdEncoding.EncodeToString(a.Payload))
		}
	case balance.CloseIdle:
		begin("disconnect")
		num("backend", int64(a.Backend))
	case balance.Log:
		begin("say_log")
		str("bodyText", strings.NewReplacer("\n", " ", "\r", " ").Replace(a.Text))
	}
	return append(b, '\n')
}

// AppendAck appends the line that ends a reply.
func AppendAck(b []byte) []byte { return append(b, "ack\n"...) }
