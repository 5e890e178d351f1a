package timeline

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	clockFormat = "15:04:05.000000"
	dateFormat  = "2006-01-02"
)

// WriteText writes one line for each event: time, process, kind, fields and detail.
func WriteText(w io.Writer, events []Event) {
	width := 0
	for i := range events {
		width = max(width, len(events[i].Process))
	}
	for i := range events {
		e := &events[i]
		_, _ = fmt.Fprintf(w, "%s  %-*s  %-24s %s\n", wallTime(e).Format(clockFormat), width, e.Process, e.Kind, e.formatFields())
	}
}

func wallTime(e *Event) time.Time { return time.Unix(0, e.At.Wall).UTC() }

// formatFields formats the non-empty fields as "name=value", followed by the detail.
func (e *Event) formatFields() string {
	var out []string
	for _, f := range [][2]string{{"request", e.Request}, {"endpoint", e.Endpoint}, {"move", e.Move}, {"domain", e.Domain}, {"cause", e.Cause}} {
		if f[1] != "" {
			out = append(out, f[0]+"="+f[1])
		}
	}
	if e.Revision != 0 {
		out = append(out, fmt.Sprintf("revision=%d", e.Revision))
	}
	if e.Detail != "" {
		out = append(out, e.Detail)
	}
	return strings.Join(out, " ")
}

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("page").Parse(pageSource))

// page is the data of the HTML template.
type page struct {
	From, To  string
	Processes []string
	Missing   []string
	Rows      []row
}

// row is one table row: an event in the column of its process. Lane and After count the
// columns before and after it.
type row struct {
	ID, Clock, Offset  string
	Lane, After        int
	Object, Kind, Text string
	Process, Cause     string
}

// WriteHTML writes one self-contained page with a column for each process. events must be
// sorted; missing names the processes whose events could not be fetched.
func WriteHTML(w io.Writer, events []Event, missing []string) error {
	p := page{Missing: missing}
	for i := range events {
		p.Processes = append(p.Processes, events[i].Process)
	}
	slices.Sort(p.Processes)
	p.Processes = slices.Compact(p.Processes)
	for i := range events {
		p.Rows = append(p.Rows, newRow(&events[i], wallTime(&events[0]), p.Processes))
	}
	if n := len(events); n > 0 {
		p.From = wallTime(&events[0]).Format(dateFormat + " " + clockFormat)
		p.To = wallTime(&events[n-1]).Format(dateFormat + " " + clockFormat)
	}
	return pageTemplate.Execute(w, p)
}

func newRow(e *Event, start time.Time, processes []string) row {
	lane, _ := slices.BinarySearch(processes, e.Process)
	object, _, _ := strings.Cut(string(e.Kind), ".")
	shown := *e
	shown.Cause = ""
	return row{
		ID:      fmt.Sprintf("%s/%d", e.Process, e.Seq),
		Clock:   wallTime(e).Format(clockFormat),
		Offset:  fmt.Sprintf("+%.3fs", wallTime(e).Sub(start).Seconds()),
		Lane:    lane,
		After:   len(processes) - lane - 1,
		Object:  object,
		Kind:    string(e.Kind),
		Text:    shown.formatFields(),
		Process: e.Process,
		Cause:   e.Cause,
	}
}
