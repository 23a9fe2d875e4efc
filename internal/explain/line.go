// Package explain tells the story of one flow from the logs of several processes:
// which process decided what about it, by which inputs, and what the processes
// believed of each other at the time.
package explain

import (
	"strconv"
	"strings"
	"time"
)

// Names of the fields that a story is made of.
const (
	fieldTime     = "time"
	fieldRole     = "role"
	fieldInstance = "instance"
	fieldMessage  = "message"
	fieldFlow     = "flow"
	fieldOutcome  = "outcome"
	fieldReason   = "reason"
	fieldOmitted  = "omitted"
	fieldPeer     = "peer"
)

// pair is one field of a line.
type pair struct{ name, value string }

// line is one parsed line of a log.
type line struct {
	at    time.Time
	pairs []pair
	text  string
}

// get returns the value of a field, or "".
func (l *line) get(name string) string {
	for _, p := range l.pairs {
		if p.name == name {
			return p.value
		}
	}
	return ""
}

// parse reads a line of key=value pairs. Text before the first pair named time, as a
// collector may add it, is passed over. It returns false for a line that is torn.
func parse(text string) (line, bool) {
	start := strings.Index(text, fieldTime+"=")
	if start < 0 {
		return line{}, false
	}
	l := line{text: strings.TrimSpace(text[start:])}
	for rest := l.text; rest != ""; {
		name, after, found := strings.Cut(rest, "=")
		if !found || strings.ContainsAny(name, ` "`) {
			return line{}, false
		}
		value, remaining, ok := cutValue(after)
		if !ok {
			return line{}, false
		}
		l.pairs = append(l.pairs, pair{name, value})
		rest = strings.TrimLeft(remaining, " ")
	}
	at, err := time.Parse(time.RFC3339Nano, l.get(fieldTime))
	if err != nil || l.get(fieldInstance) == "" || l.get(fieldMessage) == "" {
		return line{}, false
	}
	l.at = at
	return l, true
}

// cutValue splits a value, quoted or not, from the rest of a line.
func cutValue(text string) (value, rest string, ok bool) {
	if !strings.HasPrefix(text, `"`) {
		value, rest, _ = strings.Cut(text, " ")
		return value, rest, true
	}
	quoted, err := strconv.QuotedPrefix(text)
	if err != nil {
		return "", "", false
	}
	value, err = strconv.Unquote(quoted)
	return value, text[len(quoted):], err == nil
}
