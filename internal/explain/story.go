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

// around is how long before and after a flow's lines other lines count as its
// surroundings. Clocks of instances may differ by less than that.
const around = 3 * time.Second

// maxLine is the longest line that is read, in bytes.
const maxLine = 64 << 10

// Timeline is what logs say of one flow.
type Timeline struct {
	// Flow is the flow's key as it stands in the logs, or a part of it.
	Flow string
	// decisions are the lines about the flow, surroundings those about the processes
	// and about changes of what they believed.
	decisions, surroundings []line
	// torn counts lines that could not be read, doubled those that came twice.
	torn, doubled int
	// omitted counts decisions without a line near the flow's lines.
	omitted int
	seen    map[string]bool
	others  []line
}

// New returns the story of a flow, given its key or the caller's address and port.
func New(flow string) *Timeline {
	return &Timeline{Flow: flow, seen: map[string]bool{}}
}

// Read takes in one log.
func (s *Timeline) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, maxLine), maxLine)
	for scanner.Scan() {
		s.add(scanner.Text())
	}
	return scanner.Err()
}

func (s *Timeline) add(text string) {
	if strings.TrimSpace(text) == "" {
		return
	}
	l, ok := parse(text)
	switch {
	case !ok:
		s.torn++
	case s.seen[l.text]:
		s.doubled++
	case s.isAbout(&l):
		s.seen[l.text] = true
		s.decisions = append(s.decisions, l)
	default:
		s.seen[l.text] = true
		s.others = append(s.others, l)
	}
}

// isAbout reports whether a line is about the story's flow.
func (s *Timeline) isAbout(l *line) bool {
	key := l.get(fieldFlow)
	return key != "" && (key == s.Flow || strings.HasPrefix(key, s.Flow+">"))
}

// arrange sorts the lines, and finds those that surround the flow's. Lines of one
// instance keep the order in which they were written.
func (s *Timeline) arrange() {
	byTime := func(a, b line) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) }
	slices.SortStableFunc(s.decisions, byTime)
	s.surroundings, s.omitted = nil, 0
	if len(s.decisions) == 0 {
		return
	}
	from := s.decisions[0].at.Add(-around)
	to := s.decisions[len(s.decisions)-1].at.Add(around)
	for _, l := range s.others {
		if l.at.Before(from) || l.at.After(to) {
			continue
		}
		if l.get(fieldFlow) == "" {
			s.surroundings = append(s.surroundings, l)
		}
		// A count that cannot be read is none that a process wrote.
		count, _ := strconv.Atoi(l.get(fieldOmitted))
		s.omitted += count
	}
	slices.SortStableFunc(s.surroundings, byTime)
}

// Write prints the story.
func (s *Timeline) Write(w io.Writer) error {
	s.arrange()
	var b strings.Builder
	if len(s.decisions) == 0 {
		fmt.Fprintf(&b, "No line about flow %s. Ordinary decisions are sampled; look at the time of the request for what the processes believed.\n", s.Flow)
	}
	for _, l := range s.decisions {
		fmt.Fprintf(&b, "%s  %-9s %-22s %s\n", l.at.Format("15:04:05.000"), l.get(fieldRole), l.get(fieldInstance), describe(&l))
	}
	if cause := s.cause(); cause != "" {
		fmt.Fprintf(&b, "\nLikely cause: %s\n", cause)
	}
	for _, missing := range s.missing() {
		fmt.Fprintf(&b, "Missing: %s\n", missing)
	}
	if len(s.surroundings) > 0 {
		fmt.Fprintf(&b, "\nWithin %s of it:\n", around)
	}
	for _, l := range s.surroundings {
		fmt.Fprintf(&b, "%s  %-9s %-22s %s\n", l.at.Format("15:04:05.000"), l.get(fieldRole), l.get(fieldInstance), describe(&l))
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// describe returns the fields of a line that tell something.
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
