// Package story finds, in the logs of several instances, the lines that tell
// what became of a request, an upstream or a configuration, and puts them into
// the order of time.
//
// # Usage
//
//	lines := story.Parse(text)
//	for _, l := range story.Select(lines, story.Filter{RequestID: "9c41"}) {
//		fmt.Println(l)
//	}
package story

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Line is one line of a log.
type Line struct {
	Time    time.Time
	Level   string
	Message string
	Fields  map[string]any
}

// Filter says which lines belong to a story. Empty fields don't count.
type Filter struct {
	RequestID string
	Upstream  string
	Version   string
	From, To  time.Time
}

// around is how long before and after a request the changes count that bear
// on it: an upstream, a failure domain or the leader.
const around = 5 * time.Second

// Parse reads the lines of a log. What stands before the first brace of a line
// and lines of another form are passed over.
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

// Select gives the lines of a story in the order of time. The story of a
// request includes what changed, shortly before and after it, of the upstreams
// that it was sent to, and at the instance that took it.
func Select(lines []Line, f Filter) []Line {
	own := slices.DeleteFunc(slices.Clone(lines), func(l Line) bool { return !f.matches(l) })
	if f.RequestID != "" {
		own = append(own, background(lines, own)...)
	}
	slices.SortStableFunc(own, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return own
}

func (f Filter) matches(l Line) bool {
	switch {
	case f.RequestID != "" && l.text("request_id") != f.RequestID:
		return false
	case f.Upstream != "" && !l.names(f.Upstream):
		return false
	case f.Version != "" && l.text("version") != f.Version:
		return false
	case !f.From.IsZero() && l.Time.Before(f.From), !f.To.IsZero() && l.Time.After(f.To):
		return false
	}
	return f != Filter{}
}

// background gives the changes that bear on the lines of a request.
func background(lines, own []Line) []Line {
	var out []Line
	for _, l := range lines {
		if l.text("change") == "" {
			continue
		}
		if slices.ContainsFunc(own, l.bearsOn) {
			out = append(out, l)
		}
	}
	return out
}

func (l Line) bearsOn(request Line) bool {
	if d := l.Time.Sub(request.Time).Abs(); d > around {
		return false
	}
	upstream := request.text("upstream")
	sameInstance := l.text("instance") == request.text("instance") && l.text("change") != "upstreams"
	return sameInstance || upstream != "" && l.names(upstream)
}

// names reports whether a line tells of an upstream.
func (l Line) names(upstream string) bool {
	return l.text("upstream") == upstream ||
		strings.Contains(l.text("upstreams"), upstream) || strings.Contains(l.text("tries"), upstream)
}

// text gives a field as text; empty when it is absent.
func (l Line) text(name string) string {
	v, ok := l.Fields[name]
	if !ok || v == nil {
		return ""
	}
	return fmt.Sprint(v)
}

// String gives a line for a reader: time, instance, message and the other
// fields in order.
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
