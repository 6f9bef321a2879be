// Package logtrace finds log lines in the logs of several instances: the lines of
// one request, one upstream or one configuration version, in the order of time.
//
// # Usage
//
//	lines := logtrace.Parse(text)
//	for _, l := range logtrace.Select(lines, logtrace.Filter{RequestID: "9c41"}) {
//		fmt.Println(l)
//	}
package logtrace

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Line is one line of a log. Fields are the JSON values by key.
type Line struct {
	Time    time.Time
	Level   string
	Message string
	Fields  map[string]any
}

// Filter selects log lines. A line must match all fields of the filter that are
// not empty. An empty filter selects no line.
type Filter struct {
	RequestID string
	Upstream  string
	Version   string
	From, To  time.Time
}

// changeWindow is the time before and after a line of a request within which
// related changes are included.
const changeWindow = 5 * time.Second

// Parse returns the lines of a log. In each line, the text before the first brace
// is ignored, such as a prefix added by a log collector. Lines in another format
// are skipped.
func Parse(text string) []Line {
	var out []Line
	for _, raw := range strings.Split(text, "\n") {
		brace := strings.IndexByte(raw, '{')
		if brace < 0 {
			continue
		}
		var l struct {
			Fields    map[string]any `json:"fields"`
			Level     string         `json:"level"`
			Message   string         `json:"message"`
			Timestamp time.Time      `json:"timestamp"`
		}
		if json.Unmarshal([]byte(raw[brace:]), &l) != nil || l.Message == "" {
			continue
		}
		out = append(out, Line{Time: l.Timestamp, Level: l.Level, Message: l.Message, Fields: l.Fields})
	}
	return out
}

// Select returns the lines that match a filter, in the order of time. For a
// request, it adds the changes within changeWindow of one of its lines: those of
// the upstream that the line names, and those at the instance that logged it. It also
// adds earlier ones that had taken upstreams out of use for the request, or that
// concerned its content.
func Select(lines []Line, f Filter) []Line {
	matching := slices.DeleteFunc(slices.Clone(lines), func(l Line) bool { return !f.matches(l) })
	if f.RequestID != "" {
		matching = append(matching, relatedChanges(lines, matching)...)
	}
	slices.SortStableFunc(matching, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return matching
}

func (f Filter) matches(l Line) bool {
	switch {
	case f.RequestID != "" && l.text("request_id") != f.RequestID:
		return false
	case f.Upstream != "" && !l.mentions(f.Upstream):
		return false
	case f.Version != "" && l.text("version") != f.Version:
		return false
	case !f.From.IsZero() && l.Time.Before(f.From), !f.To.IsZero() && l.Time.After(f.To):
		return false
	}
	return f != Filter{}
}

// relatedChanges returns the lines with a change that relates to one of the lines
// of a request.
func relatedChanges(lines, requestLines []Line) []Line {
	var out []Line
	for _, l := range lines {
		if l.text("change") == "" {
			continue
		}
		if slices.ContainsFunc(requestLines, l.relatesTo) {
			out = append(out, l)
		}
	}
	return out
}

// relatesTo reports whether a change is within changeWindow of a line of a request
// and was logged at the same instance or names the same upstream, or whether it took an
// upstream out of use for the request or concerned its content. A line with the change "upstreams" is logged for
// each update of the upstream view, so it does not relate to a request unless it
// mentions the request's upstream.
func (l Line) relatesTo(request Line) bool {
	if l.tookOutOfUse(request) || l.concernsContentOf(request) {
		return true
	}
	if d := l.Time.Sub(request.Time).Abs(); d > changeWindow {
		return false
	}
	upstream := request.text("upstream")
	sameInstance := l.text("instance") == request.text("instance") && l.text("change") != "upstreams"
	return sameInstance || upstream != "" && l.mentions(upstream)
}

// tookOutOfUse reports whether a change, however long before, had taken an upstream of the
// request's service out of use at its instance, and still did when the request ended: an
// announcement that it leaves, or a rest.
func (l Line) tookOutOfUse(request Line) bool {
	if l.Time.After(request.Time) || l.text("instance") != request.text("instance") || l.text("service") != request.text("service") {
		return false
	}
	switch l.text("change") {
	case "upstream_leaving":
		return request.number("leaving_upstreams") > 0
	case "upstream_rest":
		length := time.Duration(l.number("length_ms")) * time.Millisecond
		return request.number("resting_upstreams") > 0 && request.Time.Sub(l.Time) <= length
	}
	return false
}

// concernsContentOf reports whether a change, however long before and at any instance,
// concerned the content of a request in the quarantine.
func (l Line) concernsContentOf(request Line) bool {
	fingerprint := request.text("fingerprint")
	return fingerprint != "" && l.text("fingerprint") == fingerprint && !l.Time.After(request.Time)
}

// number returns a field as a number, or 0 when it is absent or not a number.
func (l Line) number(name string) float64 {
	n, _ := l.Fields[name].(float64)
	return n
}

// mentions reports whether a line names an upstream. In the lists "upstreams" and
// "tries", a longer id that contains the given one matches too.
func (l Line) mentions(upstream string) bool {
	return l.text("upstream") == upstream ||
		strings.Contains(l.text("upstreams"), upstream) || strings.Contains(l.text("tries"), upstream)
}

// text returns a field as text, or an empty text when it is absent.
func (l Line) text(name string) string {
	v, ok := l.Fields[name]
	if !ok || v == nil {
		return ""
	}
	return fmt.Sprint(v)
}

// String returns a line in readable form: time, instance and message, then the
// other fields sorted by key.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s:", l.Time.Format("15:04:05.000"), l.text("instance"), l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if name != "instance" && l.text(name) != "" {
			fmt.Fprintf(&b, " %s=%s", name, l.text(name))
		}
	}
	return b.String()
}
