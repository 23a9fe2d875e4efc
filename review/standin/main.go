package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRunTime is the longest time that a case may take.
const maxRunTime = 115 * time.Second

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
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case s := <-signals:
			os.Exit(w.fail(fmt.Errorf("stopped by signal %v", s)))
		case <-time.After(maxRunTime):
			os.Exit(w.fail(fmt.Errorf("longer than %v", maxRunTime)))
		}
	}()
	os.Exit(cases[os.Args[1]](w))
}
