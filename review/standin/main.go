package main

import (
	"fmt"
	"os"
)

// cases are the scripts of the review by name. Each returns the exit code.
var cases = map[string]func(*world) int{
	"reused-port": reusedPort,
	"late-syn":    lateSyn,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD-FILE, in the root of the repository")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(cases[os.Args[1]](w))
}
