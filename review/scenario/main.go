// Command scenario plays the cases of this review: it starts the project's programs as separate processes with
// the commands of the deploy file, on loopback addresses, and plays the platform, the hosts and the clients.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration is the time after which a case is given up.
const maxDuration = 115 * time.Second

// recorder writes record.txt and counts what was seen.
type recorder struct {
	mu       sync.Mutex
	file     *os.File
	out      *bufio.Writer
	begun    time.Time
	ids      int
	runs     int
	breaks   map[string]int
	requests []finished
}

// finished is one request of a user, with the time when it was first sent.
type finished struct {
	begun  time.Time
	served bool
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.print(format, args...)
}

// print writes one line. The lock is held.
func (r *recorder) print(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// close writes the buffered lines.
func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// broken records that a rule was broken.
func (r *recorder) broken(rule, format string, args ...any) {
	r.mu.Lock()
	r.breaks[rule]++
	r.mu.Unlock()
	r.printf("BROKEN "+rule+": "+format, args...)
}

func (r *recorder) newRequest() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids++
	return fmt.Sprintf("q%d", r.ids)
}

func (r *recorder) finished(begun time.Time, served bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, finished{begun, served})
}

// requestID returns the id in the header of a request.
func requestID(request []byte) string {
	_, id, _ := bytes.Cut(request, []byte("X-Request-Id: "))
	id, _, _ = bytes.Cut(id, []byte("\r\n"))
	return string(id)
}

// ran records that a host has begun to work on a request. The host's lock is held.
func (r *recorder) ran(h *host, key flowKey, request []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs++
	r.print("host %s (born %d) runs %s on flow %s", h.ip, h.born, requestID(request), key)
}

// share returns the number of requests that were first sent between two times, and the share of them that was
// served.
func (r *recorder) share(from, to time.Time) (int, float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all, served := 0, 0
	for _, q := range r.requests {
		if q.begun.After(from) && q.begun.Before(to) {
			all++
			if q.served {
				served++
			}
		}
	}
	if all == 0 {
		return 0, 0
	}
	return all, float64(served) / float64(all)
}

// scenario is one case. It plays the events and reports what breaks a rule to the recorder.
type scenario func(w *world, trouble bool) error

var scenarios = map[string]scenario{
	"roll-of-many-agents": rollOfManyAgents,
	"late-leave":          lateLeave,
	"foreign-report":      foreignReport,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: scenario NAME REPOSITORY FOLDER")
		return exitNotRun
	}
	play, known := scenarios[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return exitNotRun
	}
	file, err := os.Create(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	rec := &recorder{file: file, out: bufio.NewWriter(file), begun: time.Now(), breaks: map[string]int{}}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return notRun(rec, err)
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs:", dir)
	}
	w, err := newWorld(os.Args[2], dir, rec)
	if err != nil {
		return notRun(rec, err)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, trouble %v", os.Args[1], trouble)
	giveUp := func(reason string) {
		rec.printf("given up: %s", reason)
		for _, n := range w.nodes {
			n.signal(syscall.SIGKILL)
		}
		_ = os.RemoveAll(dir)
		rec.close()
		os.Exit(exitNotRun)
	}
	time.AfterFunc(maxDuration, func() { giveUp("the case takes too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { giveUp((<-signals).String()) }()
	err = play(w, trouble)
	w.close()
	if err != nil {
		return notRun(rec, err)
	}
	return rec.verdict()
}

func notRun(rec *recorder, err error) int {
	rec.printf("the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, "not run:", err)
	return exitNotRun
}

func (r *recorder) verdict() int {
	all, share := r.share(r.begun, time.Now())
	r.printf("requests: %d, served %.3f; runs at hosts: %d", all, share, r.runs)
	code := exitHeld
	for rule, count := range r.breaks {
		r.printf("rule %s broken %d times", rule, count)
		fmt.Printf("rule %s broken %d times\n", rule, count)
		code = exitBroken
	}
	if code == exitHeld {
		r.printf("all rules held")
		fmt.Println("held")
	}
	return code
}
