package timeline

import (
	"cmp"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
)

// Filter selects events; empty fields match everything.
type Filter struct {
	Request  string
	Endpoint string
	Move     string
	Domain   string
}

// Match reports whether the filter selects the event.
func (f Filter) Match(e *Event) bool {
	return matches(f.Request, e.Request) && matches(f.Endpoint, e.Endpoint) &&
		matches(f.Move, e.Move) && matches(f.Domain, e.Domain)
}

func matches(want, have string) bool { return want == "" || want == have }

// Query encodes the filter as URL query parameters.
func (f Filter) Query() url.Values {
	q := url.Values{}
	for name, value := range map[string]string{"request": f.Request, "endpoint": f.Endpoint, "move": f.Move, "domain": f.Domain} {
		if value != "" {
			q.Set(name, value)
		}
	}
	return q
}

// FilterFromQuery decodes the parameters written by Filter.Query.
func FilterFromQuery(q url.Values) Filter {
	return Filter{Request: q.Get("request"), Endpoint: q.Get("endpoint"), Move: q.Get("move"), Domain: q.Get("domain")}
}

// Sort sorts events by time, then process and sequence number.
func Sort(events []Event) {
	slices.SortFunc(events, func(a, b Event) int {
		if c := a.At.Compare(b.At); c != 0 {
			return c
		}
		if c := cmp.Compare(a.Process, b.Process); c != 0 {
			return c
		}
		return cmp.Compare(a.Seq, b.Seq)
	})
}

// ServeHTTP serves the events as a JSON array, filtered by the URL query.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r.Events(FilterFromQuery(req.URL.Query())))
}
