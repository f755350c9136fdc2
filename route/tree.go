package route

import "strings"

// tree is a radix tree of prefixes. The cost of a search depends on the length of the path, not on the number of prefixes.
type tree struct {
	root node
}

// node represents the prefix from the root to it. The texts of its children begin with different bytes.
type node struct {
	text       string            // the bytes between the parent and this node
	value      *compiledLocation // nil: no location has this prefix
	firstBytes []byte            // the first byte of each child, in the order of children
	children   []node
}

// child returns the index of the child whose text begins with b, or -1.
func (n *node) child(b byte) int {
	for i, f := range n.firstBytes {
		if f == b {
			return i
		}
	}
	return -1
}

// insert adds a prefix that the tree doesn't have yet.
func (t *tree) insert(path string, value *compiledLocation) {
	n := &t.root
	for path != "" {
		i := n.child(path[0])
		if i < 0 {
			n.firstBytes = append(n.firstBytes, path[0])
			n.children = append(n.children, node{text: path, value: value})
			return
		}
		c := &n.children[i]
		common := 0
		for common < len(path) && common < len(c.text) && path[common] == c.text[common] {
			common++
		}
		if common < len(c.text) { // the prefixes diverge within the child: split it
			rest := *c
			rest.text = c.text[common:]
			*c = node{text: c.text[:common], firstBytes: []byte{rest.text[0]}, children: []node{rest}}
		}
		path, n = path[common:], c
	}
	n.value = value
}

// longestPrefix returns the location with the longest prefix of a path, or nil.
func (t *tree) longestPrefix(path string) (best *compiledLocation) {
	for n := &t.root; ; {
		if n.value != nil {
			best = n.value
		}
		if path == "" {
			return best
		}
		i := n.child(path[0])
		if i < 0 || !strings.HasPrefix(path, n.children[i].text) {
			return best
		}
		n = &n.children[i]
		path = path[len(n.text):]
	}
}
