package fleet

// Retirement holds, by service, the start time of the newest incarnation of an upstream that
// is retired. The empty service stands for all of them.
type Retirement map[string]int64

// Includes reports whether an incarnation is retired.
func (r Retirement) Includes(u Upstream) bool {
	return len(r) > 0 && u.StartMS <= max(r[""], r[u.Service])
}

// Concerns reports whether incarnations of a service that the configuration names are
// retired, or those of all services.
func (r Retirement) Concerns(services Services) bool {
	for service := range r {
		if service == "" || services.Name(service) {
			return true
		}
	}
	return false
}

// Retire marks an incarnation of an upstream, and all earlier ones of the service, as
// draining for good. An empty service stands for all of them. What an announcement says
// holds for the service that it names only: its writer may be another one than that of
// the upstream, and the configuration may not name either service yet.
func (t *Table) Retire(id, service string, startMS int64) {
	if t.Retired[id] == nil {
		t.Retired[id] = Retirement{}
	}
	t.Retired[id][service] = max(t.Retired[id][service], startMS)
	if m := t.Members[id]; m != nil && t.Retired[id].Includes(m.Upstream) && !m.Draining {
		t.Digest.toggle(id, m.hash())
		m.Draining = true
		t.Digest.toggle(id, m.hash())
		t.Revision++
		m.Revision = t.Revision
	}
}
