// Command almondledge is the layer-4 load balancer: one binary for every role.
package main

import (
	"fmt"
	"os"
)

func main() {
	fmt.Fprintln(os.Stderr, "almondledge: no command yet")
	os.Exit(2)
}
