// Command glencart-site serves installations of one's own. It is a program beside cmd/glencart, which is the platform's
// node and must not grow by what this links; glencart VERB runs it.
package main

import "glencart/internal/cli"

func main() { cli.Run() }
