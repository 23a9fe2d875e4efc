package logging

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/errkind"
)

var source = Source{Role: "agent", Instance: "127.0.2.1:7000", DataCentre: "cesme"}

// newLogger returns a logger and a function that returns its output without the time stamp of the first line.
func newLogger(t *testing.T, level string) (*log.Logger, func() string) {
	t.Helper()
	var out bytes.Buffer
	logger, err := New(&out, level, source)
	if err != nil {
		t.Fatal(err)
	}
	return logger, func() string {
		_, rest, _ := strings.Cut(out.String(), " ")
		return rest
	}
}

func TestLineFormat(t *testing.T) {
	const prefix = `level=info role=agent instance=127.0.2.1:7000 data_centre=cesme message=`
	cases := []struct {
		name    string
		message string
		fields  log.Fields
		want    string
	}{
		{"plain", "started", nil, "started"},
		{"sorted fields", "ticket in force", log.Fields{"ticket": 7, "service": "counter"}, `"ticket in force" service=counter ticket=7`},
		{"line break stays in the line", "x", log.Fields{"a": "one\ntwo level=error"}, `x a="one\ntwo level=error"`},
		{"bad field name", "x", log.Fields{"a b=c": 1}, "x a_b_c=1"},
		{"empty value", "x", log.Fields{"a": ""}, `x a=""`},
		{"invalid UTF-8", "x", log.Fields{"a": "\xff"}, `x a="\xff"`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			logger, written := newLogger(t, "info")
			logger.WithFields(c.fields).Info(c.message)
			is.Equal(written(), prefix+c.want+"\n")
		})
	}
}

func TestLevel(t *testing.T) {
	is := is.New(t)
	logger, written := newLogger(t, "warn")
	logger.Info("not shown")
	is.Equal(written(), "")
	_, err := New(nil, "loud", source)
	is.True(errkind.Is(err, errkind.Invalid))
}

func TestWithErrorAddsKind(t *testing.T) {
	is := is.New(t)
	logger, written := newLogger(t, "info")
	WithError(logger, errkind.New(errkind.Stale, "old", "retry")).Warn("refused")
	is.True(strings.HasSuffix(written(), `message=refused error="old (remedy: retry)" kind=stale`+"\n"))
}

func TestRateLimitedLoggerCountsOmittedLines(t *testing.T) {
	is := is.New(t)
	logger, written := newLogger(t, "info")
	limited := NewRateLimitedLogger(logger, time.Second)
	start := time.Unix(0, 0)
	for i := range 10 {
		limited.Warn(start.Add(time.Duration(i)*time.Millisecond), "forged packet", nil)
	}
	limited.Warn(start, "other", nil)
	is.Equal(strings.Count(written(), "\n"), 2)
	limited.Warn(start.Add(time.Second), "forged packet", nil)
	is.True(strings.HasSuffix(written(), `message="forged packet" omitted=9`+"\n"))
}
