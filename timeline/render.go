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
		_, _ = fmt.Fprintf(w, "%s  %-*s  %-24s %s\n", wall(e).Format(clockFormat), width, e.Process, e.Kind, e.fields())
	}
}

func wall(e *Event) time.Time { return time.Unix(0, e.At.Wall).UTC() }

// fields lists the fields that are set as "name=value", then the detail.
func (e *Event) fields() string {
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

// page is what the template shows.
type page struct {
	From, To  string
	Processes []string
	Missing   []string
	Rows      []row
}

// row is one event in the lane of its process.
type row struct {
	ID, Clock, Offset  string
	Lane, After        int
	Object, Kind, Text string
	Process, Cause     string
}

// WriteHTML writes one self-contained page with a lane for each process. missing names
// processes whose events could not be had.
func WriteHTML(w io.Writer, events []Event, missing []string) error {
	p := page{Missing: missing}
	for i := range events {
		p.Processes = append(p.Processes, events[i].Process)
	}
	slices.Sort(p.Processes)
	p.Processes = slices.Compact(p.Processes)
	for i := range events {
		p.Rows = append(p.Rows, rowOf(&events[i], wall(&events[0]), p.Processes))
	}
	if n := len(events); n > 0 {
		p.From = wall(&events[0]).Format(dateFormat + " " + clockFormat)
		p.To = wall(&events[n-1]).Format(dateFormat + " " + clockFormat)
	}
	return pageTemplate.Execute(w, p)
}

func rowOf(e *Event, start time.Time, processes []string) row {
	lane, _ := slices.BinarySearch(processes, e.Process)
	object, _, _ := strings.Cut(string(e.Kind), ".")
	shown := *e
	shown.Cause = ""
	return row{
		ID:      fmt.Sprintf("%s/%d", e.Process, e.Seq),
		Clock:   wall(e).Format(clockFormat),
		Offset:  fmt.Sprintf("+%.3fs", wall(e).Sub(start).Seconds()),
		Lane:    lane,
		After:   len(processes) - lane - 1,
		Object:  object,
		Kind:    string(e.Kind),
		Text:    shown.fields(),
		Process: e.Process,
		Cause:   e.Cause,
	}
}
