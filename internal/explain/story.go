package explain

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

// contextWindow is the time before the first and after the last line about the flow from which other lines
// are shown. It exceeds the possible clock difference between instances.
const contextWindow = 3 * time.Second

// maxLineBytes is the longest line that is read, in bytes.
const maxLineBytes = 64 << 10

// Timeline collects the log lines about one flow, and the lines about the processes around that time.
type Timeline struct {
	// Flow is the flow's key as in the logs, or the caller's address and port.
	Flow string
	// decisions are the lines about the flow. contextLines are lines about the processes and the
	// membership around that time.
	decisions, contextLines []line
	// unreadable counts lines that could not be parsed, duplicates the lines that had been read before.
	unreadable, duplicates int
	// omitted counts decisions that were not logged around the time of the flow's lines, because of the
	// limits of lines per second or a slow output.
	omitted    int
	seen       map[string]bool
	otherLines []line
}

// New returns an empty timeline of a flow, given its key or the caller's address and port.
func New(flow string) *Timeline {
	return &Timeline{Flow: flow, seen: map[string]bool{}}
}

// Read adds the lines of one log.
func (t *Timeline) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, maxLineBytes), maxLineBytes)
	for scanner.Scan() {
		t.add(scanner.Text())
	}
	return scanner.Err()
}

func (t *Timeline) add(text string) {
	if strings.TrimSpace(text) == "" {
		return
	}
	l, ok := parse(text)
	switch {
	case !ok:
		t.unreadable++
	case t.seen[l.text]:
		t.duplicates++
	case t.isAbout(&l):
		t.seen[l.text] = true
		t.decisions = append(t.decisions, l)
	default:
		t.seen[l.text] = true
		t.otherLines = append(t.otherLines, l)
	}
}

// isAbout reports whether a line is about the flow.
func (t *Timeline) isAbout(l *line) bool {
	key := l.get(fieldFlow)
	return key != "" && (key == t.Flow || strings.HasPrefix(key, t.Flow+">"))
}

// selectLines sorts the lines and selects contextLines. Lines with the same time keep the order in
// which they were read.
func (t *Timeline) selectLines() {
	byTime := func(a, b line) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) }
	slices.SortStableFunc(t.decisions, byTime)
	t.contextLines, t.omitted = nil, 0
	if len(t.decisions) == 0 {
		return
	}
	from := t.decisions[0].at.Add(-contextWindow)
	to := t.decisions[len(t.decisions)-1].at.Add(contextWindow)
	for _, l := range t.otherLines {
		if l.at.Before(from) || l.at.After(to) {
			continue
		}
		if l.get(fieldFlow) == "" {
			t.contextLines = append(t.contextLines, l)
		}
		// No process writes a count that is not a number; such a value counts as zero.
		count, _ := strconv.Atoi(l.get(fieldOmitted))
		t.omitted += count
	}
	slices.SortStableFunc(t.contextLines, byTime)
}

// Write prints the timeline.
func (t *Timeline) Write(w io.Writer) error {
	t.selectLines()
	var b strings.Builder
	if len(t.decisions) == 0 {
		fmt.Fprintf(&b, "No line about flow %s. Ordinary decisions are sampled; look at the other log lines around the time of the request.\n", t.Flow)
	}
	for _, l := range t.decisions {
		fmt.Fprintf(&b, "%s  %-9s %-22s %s\n", l.at.Format("15:04:05.000"), l.get(fieldRole), l.get(fieldInstance), describe(&l))
	}
	if cause := t.likelyCause(); cause != "" {
		fmt.Fprintf(&b, "\nLikely cause: %s\n", cause)
	}
	for _, missing := range t.missing() {
		fmt.Fprintf(&b, "Missing: %s\n", missing)
	}
	if len(t.contextLines) > 0 {
		fmt.Fprintf(&b, "\nWithin %s of it:\n", contextWindow)
	}
	for _, l := range t.contextLines {
		fmt.Fprintf(&b, "%s  %-9s %-22s %s\n", l.at.Format("15:04:05.000"), l.get(fieldRole), l.get(fieldInstance), describe(&l))
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// describe returns the message of a line and the fields that are not printed in columns.
func describe(l *line) string {
	var b strings.Builder
	b.WriteString(l.get(fieldMessage))
	for _, p := range l.pairs {
		switch p.name {
		case fieldTime, "level", fieldRole, fieldInstance, "data_centre", fieldMessage, fieldFlow, fieldOmitted:
		default:
			fmt.Fprintf(&b, " %s=%s", p.name, p.value)
		}
	}
	return b.String()
}
