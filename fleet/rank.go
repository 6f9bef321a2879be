package fleet

// Services holds the names of the services of the configuration in force. It is nil
// before the first configuration, when every service counts as named.
type Services map[string]bool

// Name reports whether the configuration names a service.
func (s Services) Name(service string) bool { return s == nil || s[service] }

// Outranks reports whether an incarnation takes precedence over another one that has the
// same id or the same address. Those of a service that the configuration names come
// before all others, and then the later start decides. An agent that still announces a
// machine under its former service, with a later start, would otherwise take a healthy
// upstream out of use, and direct requests of one service to an upstream of another.
//
// It is the only rank: control instances, their log and entries all use it, each with the
// services that it knows. The names change with the configuration, so whoever applies one
// also applies the rank anew to the next announcement, record or view.
func (s Services) Outranks(u, other Upstream) bool {
	if named := s.Name(u.Service); named != s.Name(other.Service) {
		return named
	}
	if u.StartMS != other.StartMS {
		return u.StartMS > other.StartMS
	}
	// Two writers that name the same start would replace each other with every announcement.
	return u.Service < other.Service
}

// SameIncarnation reports whether two announcements of an id are of the same incarnation. Those
// for different services are not: one of them is of another writer.
func (u Upstream) SameIncarnation(other Upstream) bool {
	return u.ID == other.ID && u.Service == other.Service && u.StartMS == other.StartMS
}
