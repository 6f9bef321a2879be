package route

// Lookup is the result of looking up the route of a request.
//
//sumtype:decl
type Lookup interface{ lookup() }

// Found holds the route of the request.
type Found struct{ Route *Route }

// Absent means that the newest configuration has no route for the request.
type Absent struct{}

// Unconfirmed means that the table has no route for the request, but a newer
// configuration may have one.
type Unconfirmed struct{}

// Unconfigured means that there is no configuration yet.
type Unconfigured struct{}

func (Found) lookup()        {}
func (Absent) lookup()       {}
func (Unconfirmed) lookup()  {}
func (Unconfigured) lookup() {}

// Lookup looks up the route of a request. confirmed is true when the table is known to be
// the newest; the table may be nil.
//
// A caller gives up when the answer is that there is no route, whereas one whose request has
// not been run asks another instance. Only a confirmed table may therefore decide that
// there is none.
func (t *Table) Lookup(host, path string, confirmed bool) Lookup {
	if t == nil {
		return Unconfigured{}
	}
	if found, ok := t.Match(host, path); ok {
		return Found{Route: found}
	}
	if !confirmed {
		return Unconfirmed{}
	}
	return Absent{}
}
