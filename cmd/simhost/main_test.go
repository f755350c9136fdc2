package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

const conf = `{"nInstances":2,"classes":[{"aim":300000000,"deadline":1200000000,"effect":"pure","keyScope":"all",` +
	`"points":5}],"limits":{"maxAttempts":3,"probing":true},"obligations":{"overloadFor":1500000000},` +
	`"loadReport":{"source":"on_probe"},"prices":{"probe":0.01}}`

func runInput(t *testing.T, input string) (out, diagnostics string, err error) {
	t.Helper()
	var o, n bytes.Buffer
	err = run(strings.NewReader(input), &o, &n)
	return o.String(), n.String(), err
}

// startNodes returns the input that starts nodes, each with a list of one backend. All lists use the same number.
func startNodes(nodes ...int) string {
	var b strings.Builder
	b.WriteString("clock atTime=1000000000\n")
	for _, n := range nodes {
		fmt.Fprintf(&b, "spawn node=node_%d salt=%d conf=%s\n", n, n, conf)
		fmt.Fprintf(&b, "list sheet=0 elements=1\nentry backend=%d phase=ready\n", 100+n)
		fmt.Fprintf(&b, "backends_changed node=node_%d kind=remembered stamp=1 sheet=0\n", n)
	}
	b.WriteString("your_turn\n")
	return b.String()
}

func arrival(node int, id string) string {
	return fmt.Sprintf("work_item node=node_%d requestId=%s band=0 timeBudget=1000000000\n", node, id)
}

// An empty batch gets a reply, also if the clock stands still.
func TestEmptyBatches(t *testing.T) {
	out, _, err := runInput(t, "clock atTime=1\nyour_turn\nclock atTime=1\nyour_turn\n")
	if err != nil || out != "ack\nack\n" {
		t.Fatalf("%q %v", out, err)
	}
}

// A list number may be used twice in one batch. Each node must get the list that was last sent before its event.
func TestListNumbersAreResolvedInOrder(t *testing.T) {
	out, _, err := runInput(t, startNodes(1, 2)+"clock atTime=2000000000\n"+arrival(1, "a")+arrival(2, "b")+"your_turn\n")
	if err != nil || !strings.Contains(out, "call_out node=node_1 requestId=a backend=101") ||
		!strings.Contains(out, "call_out node=node_2 requestId=b backend=102") {
		t.Fatalf("%s %v", out, err)
	}
}

func lines(text, node string) (out []string) {
	for _, l := range strings.Split(text, "\n") {
		if strings.Contains(l, "node="+node+" ") {
			out = append(out, l)
		}
	}
	return out
}

// Nodes in one process share nothing: a node's actions don't depend on other nodes.
func TestNodesShareNothing(t *testing.T) {
	var both, alone strings.Builder
	both.WriteString(startNodes(1, 2))
	alone.WriteString(startNodes(2))
	for i := range 50 {
		clock := fmt.Sprintf("clock atTime=%d\n", 2000000000+i*3000000)
		mine := arrival(2, fmt.Sprint("b", i))
		both.WriteString(clock + arrival(1, fmt.Sprint("a", i)) + mine + "your_turn\n")
		alone.WriteString(clock + mine + "your_turn\n")
	}
	x, _, err1 := runInput(t, both.String())
	y, _, err2 := runInput(t, alone.String())
	if err1 != nil || err2 != nil {
		t.Fatal(err1, err2)
	}
	if a, b := strings.Join(lines(x, "node_2"), "\n"), strings.Join(lines(y, "node_2"), "\n"); a != b || a == "" {
		t.Errorf("together:\n%s\nalone:\n%s", a, b)
	}
}

// A restarted node must not process a timer of its earlier run.
func TestRestartDropsTimers(t *testing.T) {
	out, _, err := runInput(t, startNodes(1)+"clock atTime=2000000000\n"+arrival(1, "a")+"teardown node=node_1\n"+
		strings.TrimPrefix(startNodes(1), "clock atTime=1000000000\n")+
		"clock atTime=4000000000\nbell node=node_1 mark=1\nyour_turn\n")
	if err != nil || !strings.HasSuffix(out, "ack\nack\n") {
		t.Fatalf("a timer of the earlier run was processed: %s %v", out, err)
	}
}

// Events for a node that isn't running, and unknown messages, are noted and otherwise ignored.
func TestEventsForStoppedNodesAreNoted(t *testing.T) {
	out, diagnostics, err := runInput(t, "clock atTime=1\nbell node=node_9 mark=1\nweather sky=blue\nyour_turn\n")
	if err != nil || out != "ack\n" || !strings.Contains(diagnostics, "node_9") || !strings.Contains(diagnostics, "weather") {
		t.Fatalf("%q %q %v", out, diagnostics, err)
	}
}

// Only whole replies are written: a batch that ends in an error leaves no part of a reply.
func TestInvalidInputLeavesNoPartialReply(t *testing.T) {
	for _, bad := range []string{
		"clock atTime=2000000000\n" + arrival(1, "a") + "bell node=node_1\nyour_turn\n",
		"clock atTime=2000000000\n" + arrival(1, "a"),
		"clock atTime=1\nyour_turn\n",
		arrival(1, "a"),
		"clock atTime=2000000000\nspawn node=node_1 salt=1 conf={\"nInstances\":-1}\nyour_turn\n",
	} {
		want, _, _ := runInput(t, startNodes(1))
		out, _, err := runInput(t, startNodes(1)+bad)
		if err == nil || out != want {
			t.Errorf("%q: %v, output %q", bad, err, strings.TrimPrefix(out, want))
		}
	}
}
