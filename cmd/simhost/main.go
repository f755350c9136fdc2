// Command simhost is the adapter to the simulator. It runs one balance.Balancer
// for each simulated node and exchanges messages on standard input and output.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"time"

	"glencart/balance"
	"glencart/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// run processes batches until the input ends. On an error it discards the
// reply to the current batch, so that it writes whole replies only.
func run(stdin io.Reader, stdout, diagnostics io.Writer) error {
	in, out := wire.NewReader(stdin), bufio.NewWriterSize(stdout, 1<<16)
	nodes := map[string]*balance.Balancer{}
	var lists [wire.MaxSheet + 1][]balance.Member
	var now time.Duration
	var reply []byte
	var actions []balance.Action
	inBatch := false
	for {
		m, err := in.Next()
		if err == io.EOF && !inBatch {
			return nil
		}
		if err == io.EOF {
			return fmt.Errorf("input ends inside a batch")
		}
		if err != nil {
			return err
		}
		if !inBatch && m.Kind != wire.Clock {
			return fmt.Errorf("line %d: %s before the clock line of a batch", m.Line, m.Name)
		}
		switch m.Kind {
		case wire.Clock:
			if inBatch || m.At < now {
				return fmt.Errorf("line %d: clock: field atTime: a batch is open or time goes back", m.Line)
			}
			now, inBatch = m.At, true
		case wire.BatchEnd:
			out.Write(wire.AppendAck(reply))
			if err := out.Flush(); err != nil {
				return err
			}
			reply, inBatch = reply[:0], false
		case wire.Spawn:
			b, err := balance.New(m.Config, m.Salt)
			if err != nil {
				return fmt.Errorf("line %d: spawn: field conf: %w", m.Line, err)
			}
			nodes[m.Node] = b
		case wire.Teardown:
			delete(nodes, m.Node)
		case wire.List:
			lists[m.Sheet] = m.Members
		case wire.NodeEvent:
			b := nodes[m.Node]
			if b == nil {
				fmt.Fprintf(diagnostics, "line %d: %s for %s, which is not running\n", m.Line, m.Name, m.Node)
				continue
			}
			if m.UsesSheet {
				m.Event.Members = lists[m.Sheet]
			}
			actions = b.Handle(now, m.Event, actions[:0])
			for i := range actions {
				reply = wire.AppendAction(reply, m.Node, &actions[i])
			}
		default:
			fmt.Fprintf(diagnostics, "line %d: unknown message %s\n", m.Line, m.Name)
		}
	}
}
