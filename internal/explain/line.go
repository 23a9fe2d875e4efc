// Package explain collects the log lines of several processes about one flow: the decisions about
// its packets with their inputs, the membership changes around that time, and a likely cause of its
// end.
package explain

import (
	"strconv"
	"strings"
	"time"
)

// Names of the log fields that are used here.
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

// pair is one field of a log line.
type pair struct{ name, value string }

// line is a parsed log line.
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

// parse parses a line of key=value pairs. It skips text before the time field, which a log
// collector may have added. It returns false for an incomplete line.
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
