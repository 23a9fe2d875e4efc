// Command rig runs one case of the third review: it starts the project's own programs as separate processes on
// loopback addresses, with stand-ins for the platform's store and routers, the hosts and the clients.
//
// Usage: rig ROOT FOLDER CASE. It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(*world) verdict{
	"fronts-replaced": frontsReplaced,
	"all-killed":      allKilled,
	"planned-roll":    plannedRoll,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[3]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig ROOT FOLDER CASE")
		os.Exit(2)
	}
	w := newWorld(os.Args[1], os.Args[2])
	v := cases[os.Args[3]](w)
	w.close()
	status, word := 0, "the rule held"
	if v.broken {
		status, word = 1, "the rule was broken"
	}
	w.rec.log("%s: %s", word, v.text)
	w.rec.close()
	fmt.Println(word+":", v.text)
	os.Exit(status)
}
