package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// columnGap is the number of spaces between columns.
const columnGap = 2

// printTable prints a heading and one line per row.
func printTable[T any](w io.Writer, heading []string, rows []T, cells func(T) []any) {
	table := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	_, _ = fmt.Fprintln(table, strings.Join(heading, "\t"))
	for _, row := range rows {
		var texts []string
		for _, cell := range cells(row) {
			texts = append(texts, cellText(cell))
		}
		_, _ = fmt.Fprintln(table, strings.Join(texts, "\t"))
	}
	_ = table.Flush()
}

// cellText returns the text of a cell: "-" if it is empty, and with control characters replaced, because they could
// break the column or control the terminal.
func cellText(cell any) string {
	text := strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, fmt.Sprint(cell))
	if text == "" {
		return "-"
	}
	return text
}

func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
