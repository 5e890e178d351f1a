package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// result is what a command prints, as text or as JSON.
type result interface {
	text(w io.Writer)
}

// print writes a result in the format that was asked for.
func (s *session) print(r result) error {
	if s.cli.Output == "json" {
		enc := json.NewEncoder(s.Stdout)
		enc.SetIndent("", "  ")
		enc.SetEscapeHTML(false)
		return enc.Encode(r)
	}
	r.text(s.Stdout)
	return nil
}

func line(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }

// table writes rows in aligned columns; cells are joined by tabs.
func table(w io.Writer, header []string, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line(t, "%s", strings.Join(header, "\t"))
	for _, r := range rows {
		line(t, "%s", strings.Join(r, "\t"))
	}
	_ = t.Flush()
}
