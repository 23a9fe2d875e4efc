// Package logging writes one line of key=value pairs for each event, as a handler of apex/log.
//
// A line starts with time, level, role, instance, data centre and message, followed by the fields of the event in
// alphabetical order. Events are changes of state and failures; packets are not logged.
package logging

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"
	"unicode"

	"github.com/apex/log"

	"github.com/almondledge/almondledge/internal/errkind"
)

// Keys of fields that several packages use.
const (
	FieldTicket  = "ticket"
	FieldRequest = "request"
	FieldPeer    = "peer"
	FieldService = "service"
	FieldKind    = "kind"
)

// Source identifies the process in each line.
type Source struct {
	// Role is the role of the process.
	Role string
	// Instance is the address that identifies the process.
	Instance string
	// DataCentre is the data centre of the process.
	DataCentre string
}

// New returns a logger that writes lines of level and above to w. The level is "debug", "info", "warn" or "error".
func New(w io.Writer, level string, source Source) (*log.Logger, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Invalid, "invalid log level "+strconv.Quote(level), `use "debug", "info", "warn" or "error"`)
	}
	return &log.Logger{Handler: &lineHandler{w: w, source: source}, Level: parsed}, nil
}

// WithError returns logger with the text and the kind of err as fields.
func WithError(logger log.Interface, err error) log.Interface {
	entry := logger.WithField("error", err.Error())
	if kind := errkind.Of(err); kind != "" {
		return entry.WithField(FieldKind, string(kind))
	}
	return entry
}

// lineHandler formats and writes entries. Its lock keeps concurrent lines from mixing.
type lineHandler struct {
	source Source

	mu sync.Mutex
	w  io.Writer
}

// HandleLog writes one line.
func (h *lineHandler) HandleLog(entry *log.Entry) error {
	var line strings.Builder
	appendPair(&line, "time", entry.Timestamp.UTC().Format("2006-01-02T15:04:05.000Z"))
	appendPair(&line, "level", entry.Level.String())
	appendPair(&line, "role", h.source.Role)
	appendPair(&line, "instance", h.source.Instance)
	appendPair(&line, "data_centre", h.source.DataCentre)
	appendPair(&line, "message", entry.Message)
	for _, name := range entry.Fields.Names() {
		appendPair(&line, sanitizeName(name), formatValue(entry.Fields[name]))
	}
	line.WriteByte('\n')

	h.mu.Lock()
	defer h.mu.Unlock()
	_, err := io.WriteString(h.w, line.String())
	return err
}

// appendPair appends a space, a name and a value, quoted if necessary.
func appendPair(line *strings.Builder, name, value string) {
	if line.Len() > 0 {
		line.WriteByte(' ')
	}
	line.WriteString(name)
	line.WriteByte('=')
	if needsQuotes(value) {
		value = strconv.Quote(value)
	}
	line.WriteString(value)
}

// formatValue returns the text of a value. Times are in UTC and RFC 3339.
func formatValue(value any) string {
	switch v := value.(type) {
	case string:
		return v
	case time.Time:
		return v.UTC().Format(time.RFC3339Nano)
	case error:
		return v.Error()
	default:
		return fmt.Sprint(v)
	}
}

// needsQuotes reports whether a value must be quoted for the line to stay parseable.
func needsQuotes(value string) bool {
	if value == "" {
		return true
	}
	return strings.ContainsFunc(value, func(r rune) bool {
		return r <= ' ' || r == '=' || r == '"' || r == '\\' || r == unicode.ReplacementChar || !unicode.IsPrint(r)
	})
}

// sanitizeName replaces the characters in the name of a field that would make the line unparseable.
func sanitizeName(name string) string {
	clean := strings.Map(func(r rune) rune {
		if r == '_' || r == '.' || r == '-' || unicode.IsLetter(r) || unicode.IsDigit(r) {
			return r
		}
		return '_'
	}, name)
	if clean == "" {
		return "_"
	}
	return clean
}
