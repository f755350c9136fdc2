// Package dns is a scripted name server on loopback: it answers from records that a test sets, and misbehaves as told.
package dns

import (
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/miekg/dns"
)

// Fault is how a Server misbehaves.
type Fault struct {
	Drop, Truncate, WrongID, WrongName, Spoof bool
	Delay                                     time.Duration
	Rcode                                     int  // in place of the answer
	UDPOnly                                   bool // the faults hold over UDP; TCP answers as it should
}

// Server answers over UDP and TCP on one port of 127.0.0.1.
type Server struct {
	Addr string

	mu      sync.Mutex
	records map[string][]dns.RR
	zone    string
	fault   Fault
	asked   []dns.Question
	tcp     int
}

// New starts a server for a zone, such as "khuree.mn.". It ends with its test.
func New(t testing.TB, zone string) *Server {
	t.Helper()
	s := &Server{records: map[string][]dns.RR{}, zone: zone}
	for range 20 { // a port that is free for both
		pc, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		l, err := net.Listen("tcp", pc.LocalAddr().String())
		if err != nil {
			pc.Close()
			continue
		}
		s.Addr = pc.LocalAddr().String()
		for _, srv := range []*dns.Server{{PacketConn: pc, Handler: dns.HandlerFunc(s.serve)}, {Listener: l, Handler: dns.HandlerFunc(s.serve)}} {
			up := make(chan struct{})
			srv.NotifyStartedFunc = func() { close(up) }
			go srv.ActivateAndServe()
			<-up
			t.Cleanup(func() { srv.Shutdown() })
		}
		return s
	}
	t.Fatal("no port free for both UDP and TCP")
	return nil
}

// Set replaces all records: lines in the form of a zone file.
func (s *Server) Set(t testing.TB, lines ...string) {
	t.Helper()
	records := map[string][]dns.RR{}
	for _, line := range lines {
		rr, err := dns.NewRR(line)
		if err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		name := strings.ToLower(rr.Header().Name)
		records[name] = append(records[name], rr)
	}
	s.mu.Lock()
	s.records = records
	s.mu.Unlock()
}

// Fail has the server misbehave from now on; a zero Fault ends it.
func (s *Server) Fail(f Fault) {
	s.mu.Lock()
	s.fault = f
	s.mu.Unlock()
}

// Asked returns the questions so far, and how many came by TCP.
func (s *Server) Asked() ([]dns.Question, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]dns.Question(nil), s.asked...), s.tcp
}

// Answer words the answer to a message from the records, without faults.
func (s *Server) Answer(q *dns.Msg) *dns.Msg {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := new(dns.Msg)
	m.SetReply(q)
	m.RecursionAvailable = true
	name, exists := strings.ToLower(q.Question[0].Name), false
	for range 10 {
		cname := ""
		for _, rr := range s.records[name] {
			exists = true
			if rr.Header().Rrtype == q.Question[0].Qtype {
				m.Answer = append(m.Answer, rr)
				cname = ""
			} else if c, ok := rr.(*dns.CNAME); ok {
				m.Answer = append(m.Answer, rr)
				cname = strings.ToLower(c.Target)
			}
		}
		if cname == "" {
			break
		}
		name = cname
	}
	if len(m.Answer) == 0 {
		if !exists {
			m.Rcode = dns.RcodeNameError
		}
		m.Ns = append(m.Ns, &dns.SOA{Hdr: dns.RR_Header{Name: s.zone, Rrtype: dns.TypeSOA, Class: dns.ClassINET, Ttl: 30}, Ns: "ns." + s.zone,
			Mbox: "root." + s.zone, Minttl: 10})
	}
	for _, rr := range m.Answer {
		if srv, ok := rr.(*dns.SRV); ok {
			for _, a := range s.records[strings.ToLower(srv.Target)] {
				if k := a.Header().Rrtype; k == dns.TypeA || k == dns.TypeAAAA {
					m.Extra = append(m.Extra, a)
				}
			}
		}
	}
	return m
}

func (s *Server) serve(w dns.ResponseWriter, q *dns.Msg) {
	_, tcp := w.RemoteAddr().(*net.TCPAddr)
	s.mu.Lock()
	f := s.fault
	s.asked = append(s.asked, q.Question[0])
	if tcp {
		s.tcp++
	}
	s.mu.Unlock()
	if tcp && f.UDPOnly {
		f = Fault{}
	}
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	if f.Drop {
		return
	}
	m := s.Answer(q)
	if f.Rcode != 0 {
		m.Answer, m.Ns, m.Extra, m.Rcode = nil, nil, nil, f.Rcode
	}
	if f.Truncate && !tcp {
		m.Truncated, m.Answer, m.Extra = true, m.Answer[:min(1, len(m.Answer))], nil
	}
	if f.Spoof { // an answer, and beside it the addresses of a name that is none of its business
		rr, _ := dns.NewRR("bank.example. 3600 IN A 127.66.66.66")
		m.Extra = append(m.Extra, rr)
	}
	if f.WrongID || f.WrongName { // a forged answer ahead of the true one
		forged := m.Copy()
		if f.WrongID {
			forged.Id++
		} else {
			forged.Question[0].Name = "other." + s.zone
		}
		forged.Answer = nil
		w.WriteMsg(forged)
	}
	if o := q.IsEdns0(); !tcp {
		size := dns.MinMsgSize
		if o != nil {
			size = int(o.UDPSize())
		}
		m.Truncate(size)
	}
	w.WriteMsg(m)
}
